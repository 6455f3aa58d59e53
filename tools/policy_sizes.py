"""Finds how many engines a policy needs for the same work.

Run `python -m tools.policy_sizes`; Tuul's work is served by fewer and by more
engines, and the result goes to docs/results/policy_sizes.json.
"""

import concurrent.futures
import json
import pathlib
import statistics

import typer

from tools import policy_bench
from tools import policy_demand
from tools import policy_model
from tools import policy_rules

SIZES = (5, 6, 7, 8, 9)
SEEDS = (1, 2, 3)
RESULTS = pathlib.Path("docs/results/policy_sizes.json")


def play(job: tuple[str, int, str, int]) -> float:
    """Returns the attainment of one policy, size, scenario and seed."""
    policy, engines, scenario, seed = job
    tuul = policy_model.SITES[0]
    load = policy_demand.LOAD * tuul.engines / engines
    site = tuul._replace(engines=engines)
    run = policy_bench.Run(
        site, scenario, policy_rules.Policy(policy), seed, load
    )
    offered, in_time, *_ = run.run()
    return in_time / offered


def main(jobs: int = 6, output: pathlib.Path = RESULTS) -> None:
    """Runs all sizes and writes the means over scenarios and seeds."""
    rows = []
    policies = [
        p for p in policy_rules.Policy if p is not policy_rules.Policy.LRU
    ]
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        for policy in policies:
            for engines in SIZES:
                work = [
                    (policy.value, engines, scenario, seed)
                    for scenario in policy_demand.SCENARIOS
                    for seed in SEEDS
                ]
                mean = statistics.mean(pool.map(play, work))
                rows.append(
                    {
                        "policy": policy.value,
                        "engines": engines,
                        "attainment": round(mean, 4),
                    }
                )
                typer.echo(str(rows[-1]))
    output.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    typer.run(main)
