"""Measures the placement policy against plain baselines.

Run `python -m tools.policy_bench`.  It drives the memory accounting, the load
limits, the planner and the executor of a node against a queueing model of the
engines on a virtual clock, and writes docs/results/policy.json.
"""

import collections
from collections.abc import Iterable
import concurrent.futures
import itertools
import json
import pathlib
import random
import statistics
from typing import NamedTuple

import typer

from azureline.backends import interface
from azureline.fleet import draft as drafts
from azureline.fleet import limits
from azureline.fleet import move_executor
from azureline.fleet import placement
from azureline.fleet import plan_types
from tools import policy_demand
from tools import policy_model
from tools import policy_rules

TICK_S = 1.0
PLAN_S = 5.0
REPORT_S = 2.0
UNDO_S = 600.0
START_S = 2000.0
"""Virtual time at which a scenario begins, in seconds, after the warm start."""

SEEDS = (1, 2, 3, 4, 5)
RESULTS = pathlib.Path("docs/results/policy.json")


class Outcome(NamedTuple):
    """Results of one run.

    Attributes:
      site: name of the site.
      scenario: name of the scenario.
      policy: name of the policy.
      seed: seed of the run.
      offered: number of offered requests.
      in_time: number of requests served within the first-token bound.
      moves: number of loads ordered.
      undone: number of moves reversed within ten minutes.
      unreachable_s: seconds without a ready replica, summed over models.
    """

    site: str
    scenario: str
    policy: str
    seed: int
    offered: int
    in_time: int
    moves: int
    undone: int
    unreachable_s: float


class Run:
    """A simulation of one scenario under one policy."""

    def __init__(
        self,
        site: policy_model.Site,
        scenario: str,
        policy: policy_rules.Policy,
        seed: int,
        load: float = policy_demand.LOAD,
    ):
        rng = random.Random(f"{site.name}/{scenario}/{seed}")
        self._models = policy_model.make_models(site, rng)
        self._engines = policy_model.make_engines(site)
        names = [model.name for model in self._models]
        self._profile = policy_demand.Profile(
            scenario, names, site.engines, rng, load
        )
        domains = {e.name: e.domain for e in self._engines}
        self._failures = policy_demand.failures(scenario, domains)
        self._rng = rng
        self._params = plan_types.Params(
            attainment_weight=site.attainment_weight,
            move_weight=site.move_weight,
        )
        self._ignore_memory = policy is policy_rules.Policy.CEILING
        self._rule = policy_rules.Rule(policy, self._params)
        self._executor = move_executor.MoveExecutor(self._params)
        self._store = limits.StoreLimit(site.store_rate, site.at_once)
        self._order_ids = itertools.count()
        self._loading: dict[tuple[str, str], str] = {}
        self._move_log: list[tuple[float, plan_types.Move]] = []
        self._offered: collections.Counter[str] = collections.Counter()
        self._refused: collections.Counter[str] = collections.Counter()
        self._last_used: dict[tuple[str, str], float] = {}
        self._total_requests = 0
        self._in_time = 0
        self._unreachable_s = 0.0

    def run(self) -> tuple[int, int, int, int, float]:
        """Runs the scenario.

        Returns:
          The fields of `Outcome` from `offered` on.
        """
        self._warm_start()
        end = START_S + policy_demand.DURATION_S
        now = START_S
        while now < end:
            self._apply_failures(now)
            self._control(now)
            self._serve(now)
            now += TICK_S
        loads = [
            m for _, m in self._move_log if m.kind is plan_types.MoveKind.LOAD
        ]
        return (
            self._total_requests,
            self._in_time,
            len(loads),
            _count_undone(self._move_log),
            self._unreachable_s,
        )

    def _warm_start(self) -> None:
        """Places the models for the initial demand; its moves do not count."""
        now = 0.0
        work = self._profile.work(0.0)
        rates = {m.name: work[m.name] * m.rate for m in self._models}
        for _ in range(30):
            now += 20.0
            for engine in self._engines:
                engine.report_now(now)
            fleet = self._fleet(now)
            planned = placement.plan(fleet, rates, self._params, now)
            for move in planned:
                engine = self._find_engine(move.engine)
                engine.obey(now, _order("", move), 0.0)
                engine.advance(now + policy_model.UNLOAD_S)
            if not planned:
                return
        for engine in self._engines:
            engine.report_now(now + 20.0)

    def _find_engine(self, name: str) -> policy_model.ModelEngine:
        return next(e for e in self._engines if e.name == name)

    def _fleet(self, now: float) -> drafts.PlanInput:
        return drafts.PlanInput(
            tuple(self._models),
            tuple(e.as_layout(now) for e in self._engines if e.alive),
            self._executor.pending,
            self._executor.last_changes,
        )

    def _apply_failures(self, now: float) -> None:
        while self._failures and START_S + self._failures[0].at <= now:
            failure = self._failures.pop(0)
            for name in failure.engines:
                self._apply_failure(now, self._find_engine(name), failure.kind)

    def _apply_failure(
        self, now: float, engine: policy_model.ModelEngine, kind: str
    ) -> None:
        match kind:
            case "drain":
                engine.draining = True
            case "die":
                engine.alive = False
                engine.held = {}
                for key in [k for k in self._loading if k[0] == engine.name]:
                    self._store.load_ended(self._loading.pop(key))
            case "return":
                engine.restart(now)
                engine.report_now(now)

    def _control(self, now: float) -> None:
        for engine in self._engines:
            if not engine.alive:
                continue
            engine.advance(now)
            assert engine.used <= engine.capacity
            if now % REPORT_S == 0:
                engine.report(now, REPORT_S)
        self._release_ended_loads()
        if now % PLAN_S == 0:
            window = policy_rules.Window(
                {n: c / PLAN_S for n, c in self._offered.items()},
                {n: c / PLAN_S for n, c in self._refused.items()},
                self._last_used,
            )
            planned = self._rule.propose(now, self._fleet(now), window)
            self._executor.add_planned(now, planned)
            self._offered.clear()
            self._refused.clear()
        if self._executor.pending:
            self._order_moves(now)

    def _release_ended_loads(self) -> None:
        for (name, model), key in list(self._loading.items()):
            held = self._find_engine(name).held.get((model, "1"))
            if held is None or held.state != "loading":
                self._store.load_ended(key)
                del self._loading[(name, model)]

    def _order_moves(self, now: float) -> None:
        alive = [e.name for e in self._engines if e.alive]
        for name in alive:
            self._store.unpermitted_loads_reported(name, now, 0)
        steps = self._executor.next_moves(
            now,
            self._models,
            [e.as_layout(now) for e in self._engines if e.alive],
            self._store.free(now, alive),
        )
        for move in steps:
            engine = self._find_engine(move.engine)
            order = _order(str(next(self._order_ids)), move)
            if not engine.memory.reserve(now, order):
                continue
            if move.kind is plan_types.MoveKind.LOAD:
                self._store.request_permit(
                    now, order.order_id, move.engine, alive
                )
                self._loading[(move.engine, move.target)] = order.order_id
            engine.obey(now, order, 1.0)
            self._move_log.append((now, move))

    def _serve(self, now: float) -> None:
        serving = self._serving()
        work = self._profile.work(now - START_S)
        arrivals: list[tuple[float, plan_types.Model]] = []
        for model in self._models:
            rate = work[model.name] * model.rate
            at = self._rng.expovariate(rate)
            while at < TICK_S:
                arrivals.append((now + at, model))
                at += self._rng.expovariate(rate)
            if not serving[model.name]:
                self._unreachable_s += TICK_S
        arrivals.sort(key=lambda arrival: arrival[0])
        for at, model in arrivals:
            self._serve_one(at, model, serving[model.name])

    def _serve_one(
        self,
        at: float,
        model: plan_types.Model,
        engines: list[policy_model.ModelEngine],
    ) -> None:
        service_s = self._rng.gammavariate(
            2.0, policy_model.SLOTS / model.rate / 2
        )
        self._total_requests += 1
        self._offered[model.name] += 1
        if engines:
            engine = min(engines, key=policy_model.ModelEngine.free_at)
            if engine.serve(at, service_s):
                self._in_time += 1
                self._last_used[(engine.name, model.name)] = at
                return
        self._refused[model.name] += 1

    def _serving(self) -> dict[str, list[policy_model.ModelEngine]]:
        serving: dict[str, list[policy_model.ModelEngine]] = {
            model.name: [] for model in self._models
        }
        alive = [e for e in self._engines if e.alive]
        for engine in sorted(alive, key=lambda e: e.draining):
            for name in self._ready_models(engine):
                if not engine.draining or not serving[name]:
                    serving[name].append(engine)
        return serving

    def _ready_models(self, engine: policy_model.ModelEngine) -> list[str]:
        if self._ignore_memory:
            return [model.name for model in self._models]
        return [
            name
            for (name, _), held in engine.held.items()
            if held.state == "ready"
        ]


def _order(order_id: str, move: plan_types.Move) -> interface.Order:
    kind = interface.OrderKind.UNLOAD_MODEL
    if move.kind is plan_types.MoveKind.LOAD:
        kind = interface.OrderKind.LOAD_MODEL
    return interface.Order(
        order_id, kind, move.target, move.version, 1, 5.0, move.bytes
    )


def _count_undone(move_log: Iterable[tuple[float, plan_types.Move]]) -> int:
    """Counts moves that reverse the last move of the same model and engine.

    Only reversals within `UNDO_S` count.
    """
    last: dict[tuple[str, str], tuple[float, plan_types.MoveKind]] = {}
    undone = 0
    for at, move in move_log:
        key = (move.engine, move.target)
        previous = last.get(key)
        if (
            previous
            and previous[1] is not move.kind
            and at - previous[0] < UNDO_S
        ):
            undone += 1
        last[key] = (at, move.kind)
    return undone


def play(job: tuple[str, str, str, int]) -> Outcome:
    """Runs one job, a tuple of site, scenario, policy and seed."""
    site_name, scenario, policy, seed = job
    site = next(s for s in policy_model.SITES if s.name == site_name)
    run = Run(site, scenario, policy_rules.Policy(policy), seed)
    return Outcome(site_name, scenario, policy, seed, *run.run())


def summarize(outcomes: Iterable[Outcome]) -> list[dict[str, object]]:
    """Returns the mean, least and greatest figures over the seeds."""
    groups: dict[tuple[str, str, str], list[Outcome]] = {}
    for out in outcomes:
        key = (out.site, out.scenario, out.policy)
        groups.setdefault(key, []).append(out)
    return [_summary(key, group) for key, group in groups.items()]


def _summary(
    key: tuple[str, str, str], group: list[Outcome]
) -> dict[str, object]:
    site = next(s for s in policy_model.SITES if s.name == key[0])
    accelerators = site.engines * site.accelerators
    attainments = [out.in_time / out.offered for out in group]
    hourly = [out.in_time / accelerators for out in group]
    moves = [out.moves for out in group]
    return {
        "site": key[0],
        "scenario": key[1],
        "policy": key[2],
        "seeds": len(group),
        "attainment": round(statistics.mean(attainments), 4),
        "attainment_min": round(min(attainments), 4),
        "attainment_max": round(max(attainments), 4),
        "in_time_per_accelerator_hour": round(statistics.mean(hourly), 1),
        "moves": round(statistics.mean(moves), 1),
        "moves_min": min(moves),
        "moves_max": max(moves),
        "undone": round(statistics.mean(out.undone for out in group), 1),
        "unreachable_s": round(
            statistics.mean(out.unreachable_s for out in group), 1
        ),
    }


def main(
    seeds: int = len(SEEDS), jobs: int = 6, output: pathlib.Path = RESULTS
) -> None:
    """Runs all sites, scenarios and policies and writes the results.

    Args:
      seeds: number of seeds; the seeds are 1, 2 and so on.
      jobs: number of worker processes.
      output: file that the summary is written to.
    """
    work = [
        (site.name, scenario, policy.value, seed)
        for site in policy_model.SITES
        for scenario in policy_demand.SCENARIOS
        for policy in policy_rules.Policy
        for seed in range(1, seeds + 1)
    ]
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        rows = summarize(pool.map(play, work))
    output.write_text(json.dumps(rows, indent=1) + "\n")
    for row in rows:
        typer.echo(
            f"{row['site']:5} {row['scenario']:12} {row['policy']:20} "
            f"{row['attainment']:.3f} "
            f"[{row['attainment_min']:.3f}, {row['attainment_max']:.3f}] "
            f"moves {row['moves']:6} [{row['moves_min']}, "
            f"{row['moves_max']}] undone {row['undone']:5} "
            f"unreachable {row['unreachable_s']} s"
        )


if __name__ == "__main__":
    typer.run(main)
