"""Measures attainment against the number of engines, for each policy.

Run `python -m tools.policy_sizes`.  The workload of the site tuul is served by
5 to 9 engines; the results are written to docs/results/policy_sizes.json.
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
    """Returns the attainment of one job: policy, engines, scenario, seed."""
    policy, engines, scenario, seed = job
    base_site = policy_model.SITES[0]
    load = policy_demand.LOAD * base_site.engines / engines
    site = base_site._replace(engines=engines)
    run = policy_bench.Run(
        site, scenario, policy_rules.Policy(policy), seed, load
    )
    offered, in_time, *_ = run.run()
    return in_time / offered


def main(jobs: int = 6, output: pathlib.Path = RESULTS) -> None:
    """Runs all sizes and writes the mean over scenarios and seeds."""
    rows = []
    policies = [
        p for p in policy_rules.Policy if p is not policy_rules.Policy.LRU
    ]
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        for policy in policies:
            for engines in SIZES:
                jobs_of_size = [
                    (policy.value, engines, scenario, seed)
                    for scenario in policy_demand.SCENARIOS
                    for seed in SEEDS
                ]
                attainment = statistics.mean(pool.map(play, jobs_of_size))
                rows.append(
                    {
                        "policy": policy.value,
                        "engines": engines,
                        "attainment": round(attainment, 4),
                    }
                )
                typer.echo(str(rows[-1]))
    output.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    typer.run(main)
