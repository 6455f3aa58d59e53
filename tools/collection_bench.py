"""Compares ways to end a round that collects reports from all nodes.

Each round, every reporter answers after a delay; some are slow and some are
dead.  Demand grows tenfold in an hour.  The error is that of the summed demand
at the time when it can be used.
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
    """What one round came to.

    Attributes:
      wait_s: seconds until it ended.
      share: share of the living reporters that were in it.
      error: relative error of the demand when the round ended.
    """

    wait_s: float
    share: float
    error: float


def delays(rng: random.Random, count: int) -> list[float | None]:
    """Returns the delay of each reporter in seconds, None for the dead."""
    drawn: list[float | None] = []
    for _ in range(count):
        kind = rng.random()
        if kind < DEAD_SHARE:
            drawn.append(None)
        elif kind < DEAD_SHARE + SLOW_SHARE:
            drawn.append(rng.expovariate(1 / SLOW_S))
        else:
            drawn.append(rng.expovariate(1 / TYPICAL_S))
    return drawn


def timeout(limit_s: float):
    """Returns the strategy that waits for a fixed time or for everybody."""

    def end(arrivals: list[float], expected: int) -> float:
        if len(arrivals) == expected and arrivals[-1] < limit_s:
            return arrivals[-1]
        return limit_s

    return end


def at_knee(min_share: float):
    """Returns the strategy that ends a round at the first knee."""

    def end(arrivals: list[float], expected: int) -> float:
        detector = knee.KneeDetector(expected, min_share)
        for at in arrivals:
            release = detector.release_at()
            if release < at:
                return min(release, LONGEST_S)
            detector.arrived(at)
        release = detector.release_at() or arrivals[-1]
        return min(max(release, arrivals[-1]), LONGEST_S)

    return end


def play(end, rng: random.Random, count: int) -> Round:
    """Plays one round; those not in it count with the others' mean."""
    drawn = delays(rng, count)
    arrivals = sorted(d for d in drawn if d is not None)
    until = end(arrivals, count)
    inside = sum(1 for at in arrivals if at <= until)
    estimate = inside / max(1, inside) * len(arrivals)
    truth = len(arrivals) * GROWTH_PER_S**until
    return Round(until, inside / len(arrivals), abs(estimate / truth - 1))


def soft_state(rng: random.Random, count: int) -> Round:
    """Plays one period without rounds: each report is used when it comes.

    A report is on average half a period old when it is used, and a slow one
    older by its delay.
    """
    drawn = [d for d in delays(rng, count) if d is not None]
    ages = [rng.uniform(0, PERIOD_S) + d for d in drawn]
    estimate = sum(GROWTH_PER_S**-age for age in ages)
    return Round(0.0, 1.0, abs(estimate / len(drawn) - 1))


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
