"""Measures the time of one plan at four sizes of fleet.

Run `python -m tools.policy_scale`; it writes docs/results/policy_scale.json.
"""

import json
import pathlib
import random
import statistics
import time
from typing import NamedTuple

import typer

from azureline.fleet import draft as drafts
from azureline.fleet import placement
from azureline.fleet import plan_types

SIZES = ((20, 6), (50, 200), (105, 450), (210, 900))
"""Models and engines."""

BUDGET = 0.016
"""Part of a core that a node may spend on control."""

PLANNING_PART = 0.5
"""Part of the node's budget that planning may take."""

RESULTS = pathlib.Path("docs/results/policy_scale.json")


class Row(NamedTuple):
    """Time of a plan at one size.

    Attributes:
      models: number of models.
      engines: number of engines.
      case: "steady" without moves, "hot" with demand that has shifted.
      median_ms: median processor time of a plan in milliseconds.
      worst_ms: longest plan in milliseconds.
      moves: moves of the plans, on average.
      period_s: period at which the median takes its part of the budget.
    """

    models: int
    engines: int
    case: str
    median_ms: float
    worst_ms: float
    moves: float
    period_s: float


def make_fleet(
    models: int, engines: int, rng: random.Random
) -> tuple[drafts.PlanInput, dict[str, float]]:
    """Returns a fleet in service with a skewed demand at 70% load."""
    shares = [1 / (at + 1) for at in range(models)]
    scale = 0.7 * engines / sum(shares)
    work = {f"m{at}": share * scale for at, share in enumerate(shares)}
    specs = [plan_types.Model(f"m{at}", "1", 20) for at in range(models)]
    held: list[list[str]] = [[] for _ in range(engines)]
    for spec in specs:
        wanted = max(2, round(work[spec.name] / 0.5))
        order = sorted(
            range(engines), key=lambda e: (len(held[e]), rng.random())
        )
        for at in order[:wanted]:
            if len(held[at]) < 6:
                held[at].append(spec.name)
    built = []
    for at, names in enumerate(held):
        replicas = tuple(
            plan_types.Replica(n, "1", 20, plan_types.State.READY)
            for n in names
        )
        free = 130 - 20 * len(names)
        built.append(
            plan_types.Engine(f"e{at}", f"d{at % 7}", 130, free, replicas)
        )
    return drafts.PlanInput(tuple(specs), tuple(built)), work


def measure(models: int, engines: int, case: str, rounds: int) -> Row:
    """Times plans of one size."""
    rng = random.Random(f"{models}/{engines}")
    fleet, work = make_fleet(models, engines, rng)
    steady = plan_types.Params()
    times, moves = [], []
    fleet = _settled(fleet, work, steady)
    for _ in range(rounds):
        demand = dict(work)
        if case == "hot":
            for name in rng.sample(sorted(work), max(1, models // 10)):
                demand[name] *= 5
        began = time.process_time()
        planned = placement.plan(fleet, demand, steady, 10_000.0)
        times.append((time.process_time() - began) * 1000)
        moves.append(len(planned))
    median = statistics.median(times)
    return Row(
        models,
        engines,
        case,
        round(median, 2),
        round(max(times), 2),
        round(statistics.mean(moves), 1),
        round(median / 1000 / (BUDGET * PLANNING_PART), 1),
    )


def _settled(
    fleet: drafts.PlanInput, work: dict[str, float], params: plan_types.Params
) -> drafts.PlanInput:
    """Takes the moves of some plans as done, so that repairs are over."""
    for _ in range(20):
        planned = placement.plan(fleet, work, params, 0.0)
        if not planned:
            break
        engines = {engine.name: engine for engine in fleet.engines}
        for move in planned:
            engines[move.engine] = _done(engines[move.engine], move)
        fleet = fleet._replace(engines=tuple(engines.values()))
    return fleet


def _done(
    engine: plan_types.Engine, move: plan_types.Move
) -> plan_types.Engine:
    if move.kind is plan_types.MoveKind.LOAD:
        replica = plan_types.Replica(
            move.target, move.version, move.bytes, plan_types.State.READY
        )
        return engine._replace(
            free=engine.free - move.bytes,
            replicas=(*engine.replicas, replica),
        )
    kept = tuple(r for r in engine.replicas if r.model != move.target)
    return engine._replace(free=engine.free + move.bytes, replicas=kept)


def main(rounds: int = 15, output: pathlib.Path = RESULTS) -> None:
    """Times plans at all sizes and writes the results."""
    rows = [
        measure(models, engines, case, rounds)
        for models, engines in SIZES
        for case in ("steady", "hot")
    ]
    output.write_text(json.dumps([r._asdict() for r in rows], indent=1) + "\n")
    for row in rows:
        typer.echo(str(row))


if __name__ == "__main__":
    typer.run(main)
