"""Compares ways to end a round that collects demand reports from all nodes.

In each round every reporter answers after a random delay; some are slow and
some are dead.  Demand grows tenfold in an hour.  The error is the relative
error of the summed demand at the end of the round, when it is used.
"""

import json
import pathlib
import random
import statistics
import sys
from typing import NamedTuple

from tools import knee

RESULTS = pathlib.Path("docs/results/collection.json")
SEEDS = range(20)
ROUNDS = 40
PERIOD_S = 15.0
TYPICAL_S = 0.05
SLOW_SHARE = 0.05
SLOW_S = 3.0
DEAD_SHARE = 0.03
GROWTH_PER_S = 10 ** (1 / 3600)
SIZES = (16, 64, 360)
LONGEST_S = 10.0


class Round(NamedTuple):
    """Results of one round.

    Attributes:
      wait_s: duration of the round in seconds.
      share: fraction of the live reporters whose report arrived in the round.
      error: relative error of the summed demand at the end of the round.
    """

    wait_s: float
    share: float
    error: float


def delays(rng: random.Random, count: int) -> list[float | None]:
    """Returns the delay of each reporter in seconds; None if it is dead."""
    result: list[float | None] = []
    for _ in range(count):
        draw = rng.random()
        if draw < DEAD_SHARE:
            result.append(None)
        elif draw < DEAD_SHARE + SLOW_SHARE:
            result.append(rng.expovariate(1 / SLOW_S))
        else:
            result.append(rng.expovariate(1 / TYPICAL_S))
    return result


def timeout(limit_s: float):
    """Returns the strategy that waits for all reports up to a time-out."""

    def end(arrivals: list[float], expected: int) -> float:
        if len(arrivals) == expected and arrivals[-1] < limit_s:
            return arrivals[-1]
        return limit_s

    return end


def at_knee(min_share: float):
    """Returns the strategy that ends a round at the first detected knee."""

    def end(arrivals: list[float], expected: int) -> float:
        detector = knee.KneeDetector(expected, min_share)
        for arrived_at in arrivals:
            release = detector.release_at()
            if release < arrived_at:
                return min(release, LONGEST_S)
            detector.arrived(arrived_at)
        release = detector.release_at() or arrivals[-1]
        return min(max(release, arrivals[-1]), LONGEST_S)

    return end


def play(end, rng: random.Random, count: int) -> Round:
    """Simulates one round; missing reports count as the mean of the others."""
    all_delays = delays(rng, count)
    arrivals = sorted(d for d in all_delays if d is not None)
    ended_at = end(arrivals, count)
    included = sum(1 for at in arrivals if at <= ended_at)
    estimate = included / max(1, included) * len(arrivals)
    true_demand = len(arrivals) * GROWTH_PER_S**ended_at
    return Round(
        ended_at, included / len(arrivals), abs(estimate / true_demand - 1)
    )


def soft_state(rng: random.Random, count: int) -> Round:
    """Simulates one period without rounds: reports are used as they arrive.

    A report is on average half a period old when it is used, plus its delay.
    """
    received = [d for d in delays(rng, count) if d is not None]
    ages = [rng.uniform(0, PERIOD_S) + d for d in received]
    estimate = sum(GROWTH_PER_S**-age for age in ages)
    return Round(0.0, 1.0, abs(estimate / len(received) - 1))


def main() -> int:
    """Runs the comparison, writes the results and prints a table."""
    strategies = {
        "timeout 0.2 s": timeout(0.2),
        "timeout 1 s": timeout(1.0),
        "timeout 5 s": timeout(5.0),
        "knee, 50% at least": at_knee(0.5),
        "knee, 90% at least": at_knee(0.9),
        "soft state": None,
    }
    rows = []
    for size in SIZES:
        for name, end in strategies.items():
            rows.append(_row(size, name, end))
    RESULTS.write_text(json.dumps(rows, indent=1) + "\n")
    for row in rows:
        print(
            f"{row['nodes']:4} {row['strategy']:20} "
            f"wait {row['wait_s']:6.3f} s ±{row['wait_spread_s']:.3f}  "
            f"in it {row['share']:.3f}  error {row['error']:.5f}"
        )
    return 0


def _row(size: int, name: str, end) -> dict[str, float | int | str]:
    rounds = []
    for seed in SEEDS:
        rng = random.Random(seed)
        for _ in range(ROUNDS):
            rounds.append(
                soft_state(rng, size) if end is None else play(end, rng, size)
            )
    return {
        "nodes": size,
        "strategy": name,
        "rounds": len(rounds),
        "wait_s": statistics.mean(r.wait_s for r in rounds),
        "wait_spread_s": statistics.pstdev(r.wait_s for r in rounds),
        "share": statistics.mean(r.share for r in rounds),
        "error": statistics.mean(r.error for r in rounds),
    }


if __name__ == "__main__":
    sys.exit(main())
