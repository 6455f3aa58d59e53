"""Measures the processor time of one plan at four fleet sizes.

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
"""Numbers of models and of engines."""

BUDGET = 0.016
"""Fraction of a core that a node may spend on control work."""

PLANNING_PART = 0.5
"""Fraction of the node's budget that planning may use."""

RESULTS = pathlib.Path("docs/results/policy_scale.json")


class Row(NamedTuple):
    """Processor time of a plan at one fleet size.

    Attributes:
      models: number of models.
      engines: number of engines.
      case: "steady" for a settled fleet, "hot" after a shift of demand.
      median_ms: median processor time of a plan in milliseconds.
      worst_ms: longest processor time of a plan in milliseconds.
      moves: mean number of moves per plan.
      period_s: planning period in seconds at which a plan of median time
        uses exactly the share of the budget for planning.
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
    """Returns a loaded fleet and a skewed demand at 70% of its capacity."""
    shares = [1 / (index + 1) for index in range(models)]
    scale = 0.7 * engines / sum(shares)
    work = {f"m{index}": share * scale for index, share in enumerate(shares)}
    model_specs = [
        plan_types.Model(f"m{index}", "1", 20) for index in range(models)
    ]
    models_held: list[list[str]] = [[] for _ in range(engines)]
    for spec in model_specs:
        replica_count = max(2, round(work[spec.name] / 0.5))
        order = sorted(
            range(engines), key=lambda e: (len(models_held[e]), rng.random())
        )
        for index in order[:replica_count]:
            if len(models_held[index]) < 6:
                models_held[index].append(spec.name)
    engine_specs = []
    for index, names in enumerate(models_held):
        replicas = tuple(
            plan_types.Replica(n, "1", 20, plan_types.State.READY)
            for n in names
        )
        free = 130 - 20 * len(names)
        engine_specs.append(
            plan_types.Engine(f"e{index}", f"d{index % 7}", 130, free, replicas)
        )
    return drafts.PlanInput(tuple(model_specs), tuple(engine_specs)), work


def measure(models: int, engines: int, case: str, rounds: int) -> Row:
    """Measures plans at one fleet size."""
    rng = random.Random(f"{models}/{engines}")
    fleet, work = make_fleet(models, engines, rng)
    steady = plan_types.Params()
    times, moves = [], []
    fleet = _settle(fleet, work, steady)
    for _ in range(rounds):
        demand = dict(work)
        if case == "hot":
            for name in rng.sample(sorted(work), max(1, models // 10)):
                demand[name] *= 5
        started = time.process_time()
        planned = placement.plan(fleet, demand, steady, 10_000.0)
        times.append((time.process_time() - started) * 1000)
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


def _settle(
    fleet: drafts.PlanInput, work: dict[str, float], params: plan_types.Params
) -> drafts.PlanInput:
    """Applies the moves of up to 20 plans, so that no repairs remain."""
    for _ in range(20):
        planned = placement.plan(fleet, work, params, 0.0)
        if not planned:
            break
        engines = {engine.name: engine for engine in fleet.engines}
        for move in planned:
            engines[move.engine] = _apply_move(engines[move.engine], move)
        fleet = fleet._replace(engines=tuple(engines.values()))
    return fleet


def _apply_move(
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
    """Measures plans at all sizes and writes the results."""
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
