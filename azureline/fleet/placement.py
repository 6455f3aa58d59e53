"""Plans the moves that keep models reachable and follow the demand.

A plan handles its goals in order: every model has its minimum of replicas,
versions are changed, draining engines are emptied, each model gets a second
failure domain where memory is free, and the remaining moves follow the demand.
Replicas are never removed for being idle; they are evicted when another model
needs their memory.
"""

from collections.abc import Mapping
from typing import NamedTuple

from azureline.fleet import balance
from azureline.fleet import demand_following
from azureline.fleet import draft as drafts
from azureline.fleet import plan_types

PLANNING_CPU_RATIO = 0.008
"""Fraction of a core that planning may use: half of a node's CPU budget for
control work."""

_NO_MIN_AGE_S = 0.0
"""Value of `min_stay_s` for repairs, which may evict a model however recently
it was loaded."""


class _Option(NamedTuple):
    engine: str
    evicted: tuple[drafts.EvictableReplica, ...]


def plan(
    fleet: drafts.PlanInput,
    demand: Mapping[str, float],
    params: plan_types.Params,
    now: float,
) -> list[plan_types.Move]:
    """Proposes moves; an unload that frees memory for a load precedes it.

    Args:
      fleet: models, engines, moves in progress and the history of moves.
      demand: work per second by model, in the unit of `Model.rate`.
      params: weights and bounds.
      now: time in seconds on the clock that the history uses.

    Returns:
      Moves in the order in which they should be tried.
    """
    work = {m.name: demand.get(m.name, 0.0) / m.rate for m in fleet.models}
    draft = drafts.Draft(fleet, work)
    planner = _Planner(draft, params, now)
    planner.repair()
    planner.change_versions()
    planner.empty_leaving()
    planner.spread()
    demand_following.follow_demand(draft, params, now)
    return draft.moves


def pause_after(cpu_s: float, interval_s: float) -> float:
    """Returns the seconds to wait between two plans.

    The pause keeps the processor time of planning within `PLANNING_SHARE`.

    Args:
      cpu_s: processor time in seconds that the last plan took.
      interval_s: configured interval in seconds; the pause is never shorter.
    """
    return max(interval_s, cpu_s / PLANNING_CPU_RATIO)


class _Planner:
    """Adds the moves for each goal of a plan to one draft."""

    def __init__(
        self, draft: drafts.Draft, params: plan_types.Params, now: float
    ):
        self._draft = draft
        self._params = params
        self._now = now

    def repair(self) -> None:
        """Loads models that have fewer replicas than their minimum."""
        draft = self._draft
        busiest = sorted(draft.models, key=lambda n: (-draft.work[n], n))
        for name in busiest:
            target_count = max(1, draft.models[name].min_replicas)
            while len(draft.engines_by_model[name]) < target_count:
                cause = self._cause(name)
                if not self._add_replica(name, cause):
                    break

    def _cause(self, name: str) -> plan_types.Cause:
        outdated = self._draft.outdated.get(name, {})
        if not outdated:
            return plan_types.Cause.REPAIR
        if any(not self._draft.engines[e].leaving for e in outdated):
            return plan_types.Cause.VERSION
        return plan_types.Cause.DRAIN

    def _add_replica(self, name: str, cause: plan_types.Cause) -> bool:
        option = self._best_option(name, _NO_MIN_AGE_S)
        if option is not None:
            self._draft.replace(name, option.engine, option.evicted, cause)
            return True
        return self._add_by_relocation(name, cause)

    def _best_option(self, name: str, min_stay_s: float) -> _Option | None:
        """Finds the best engine for a replica.

        The ranking is by fewest evictions, then a failure domain that the
        model does not use yet, then lowest load.
        """
        draft = self._draft
        size = draft.models[name].bytes
        used_domains = draft.domains(draft.engines_by_model[name])
        best: tuple[tuple, _Option] | None = None
        for engine in draft.usable:
            if engine.name in draft.engines_by_model[name]:
                continue
            evictable: list[drafts.EvictableReplica] = []
            if draft.free_bytes[engine.name] < size:
                evictable = draft.evictable_replicas(
                    engine.name, self._now, min_stay_s
                )
            evicted = draft.evictions_for(engine.name, size, evictable)
            if evicted is None:
                continue
            rank = (
                len(evicted),
                engine.domain in used_domains,
                round(draft.split.load.get(engine.name, 0.0), 2),
                -draft.free_bytes[engine.name],
                engine.name,
            )
            if best is None or rank < best[0]:
                best = (rank, _Option(engine.name, tuple(evicted)))
        return best[1] if best else None

    def _add_by_relocation(self, name: str, cause: plan_types.Cause) -> bool:
        """Frees memory by relocating replicas to engines with free memory."""
        draft = self._draft
        size = draft.models[name].bytes
        for engine in draft.usable:
            if engine.name in draft.engines_by_model[name]:
                continue
            moves = self._relocations(engine.name, size)
            if moves is None:
                continue
            for other, target in moves:
                draft.load(other, target, plan_types.Cause.ROOM)
            for other, _ in moves:
                version = draft.models[other].version
                draft.unload(other, version, engine.name, plan_types.Cause.ROOM)
            draft.load(name, engine.name, cause)
            return True
        return False

    def _relocations(
        self, engine: str, size: int
    ) -> list[tuple[str, str]] | None:
        draft = self._draft
        free = dict(draft.free_bytes)
        missing_bytes = size - free[engine]
        found: list[tuple[str, str]] = []
        movable = sorted(
            (
                n
                for n in draft.models_on(engine)
                if engine in draft.ready_engines[n]
            ),
            key=lambda n: (-draft.models[n].bytes, n),
        )
        for other in movable:
            if missing_bytes <= 0:
                break
            target = self._free_engine(other, engine, free)
            if target is None:
                continue
            free[target] -= draft.models[other].bytes
            missing_bytes -= draft.models[other].bytes
            found.append((other, target))
        return found if missing_bytes <= 0 else None

    def _free_engine(
        self, name: str, avoid: str, free: Mapping[str, int]
    ) -> str | None:
        draft = self._draft
        size = draft.models[name].bytes
        fitting = [
            e.name
            for e in draft.usable
            if e.name != avoid
            and e.name not in draft.engines_by_model[name]
            and free[e.name] >= size
        ]
        return min(fitting, key=lambda e: (free[e], e)) if fitting else None

    def change_versions(self) -> None:
        """Loads new versions next to old ones, then unloads the old ones."""
        draft = self._draft
        for name in sorted(draft.outdated):
            if name not in draft.models:
                self._unload_unconfigured(name)
                continue
            previous_engines = self._outdated_engines(name)
            while len(draft.engines_by_model[name]) < len(previous_engines):
                if not self._add_replica(name, plan_types.Cause.VERSION):
                    break
            self._unload_outdated(name)

    def _outdated_engines(self, name: str) -> list[str]:
        outdated = self._draft.outdated.get(name, {})
        return sorted(e for e in outdated if not self._draft.engines[e].leaving)

    def _unload_unconfigured(self, name: str) -> None:
        draft = self._draft
        for engine, replica in sorted(draft.outdated[name].items()):
            draft.unload(
                name, replica.version, engine, plan_types.Cause.VERSION
            )

    def _unload_outdated(self, name: str) -> None:
        """Unloads outdated replicas that the demand does not need.

        If no further replica of the new version fits, one outdated replica is
        unloaded regardless of the demand, to free memory for it.
        """
        draft = self._draft
        needed = draft.work[name] / self._params.target_load
        ready = len(draft.ready_engines[name])
        force_unload = ready == len(draft.engines_by_model[name])
        for engine in self._outdated_engines(name):
            remaining = ready + len(self._outdated_engines(name)) - 1
            if not ready or (remaining < needed and not force_unload):
                return
            force_unload = False
            version = draft.outdated[name][engine].version
            draft.unload(name, version, engine, plan_types.Cause.VERSION)

    def empty_leaving(self) -> None:
        """Empties draining engines and changes the roles of empty ones.

        A model is unloaded only once it is ready on another engine.
        """
        draft = self._draft
        for engine in draft.engines.values():
            if not engine.leaving:
                continue
            resident = [
                n for n, old in draft.outdated.items() if engine.name in old
            ]
            for name in sorted(resident):
                if draft.ready_engines.get(name):
                    version = draft.outdated[name][engine.name].version
                    draft.unload(
                        name, version, engine.name, plan_types.Cause.DRAIN
                    )
            if not engine.replicas and engine.role != engine.target_role:
                draft.moves.append(_set_role(engine))

    def spread(self) -> None:
        """Gives each model a second failure domain where memory is free."""
        draft = self._draft
        if len({e.domain for e in draft.usable}) < 2:
            return
        for name in sorted(draft.models, key=lambda n: (-draft.work[n], n)):
            holders = draft.engines_by_model[name]
            if len(holders) == 0 or len(draft.domains(holders)) > 1:
                continue
            target = self._best_engine_in_new_domain(name)
            if target is not None:
                draft.load(name, target, plan_types.Cause.SPREAD)

    def _best_engine_in_new_domain(self, name: str) -> str | None:
        draft = self._draft
        used_domains = draft.domains(draft.engines_by_model[name])
        size = draft.models[name].bytes
        fitting = [
            e.name
            for e in draft.usable
            if e.domain not in used_domains
            and draft.free_bytes[e.name] >= size
            and not draft.recently_unloaded(
                e.name, name, self._now, self._params.min_stay_s
            )
        ]
        loads = draft.split.load
        return min(fitting, key=lambda e: (loads[e], e)) if fitting else None


def _set_role(engine: plan_types.Engine) -> plan_types.Move:
    return plan_types.Move(
        plan_types.MoveKind.SET_ROLE,
        engine.name,
        engine.target_role,
        "",
        0,
        plan_types.Cause.ROLE,
    )


def predicted_load(
    fleet: drafts.PlanInput, demand: Mapping[str, float]
) -> balance.Split:
    """Returns the engine loads that a plan would start from.

    Status pages show them.

    Args:
      fleet: the input of a plan.
      demand: work per second by model.
    """
    work = {m.name: demand.get(m.name, 0.0) / m.rate for m in fleet.models}
    return drafts.Draft(fleet, work).split
