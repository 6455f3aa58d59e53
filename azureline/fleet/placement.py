"""Plans the moves that keep models reachable and follow the demand.

A plan goes through its duties in order: every model reachable, leaving
engines emptied, versions changed, a second failure domain for each model
where room is free, and then replicas where the demand is.  Replicas are never
removed for being idle: they make room when something else needs it.
"""

from collections.abc import Mapping
from typing import NamedTuple

from azureline.fleet import balance
from azureline.fleet import draft as drafts
from azureline.fleet import following
from azureline.fleet import layout

PLANNING_SHARE = 0.008
"""Part of a core that planning may take: half of a node's control budget."""

_FAR_PAST_S = 0.0
"""Age below which a repair respects a load: it respects none."""


class _Option(NamedTuple):
    engine: str
    evicted: tuple[drafts.Spare, ...]


def plan(
    fleet: drafts.Fleet,
    demand: Mapping[str, float],
    params: layout.Params,
    now: float,
) -> list[layout.Move]:
    """Proposes moves; an unload that makes room precedes its load.

    Args:
      fleet: models, engines, moves under way and their history.
      demand: work per second by model, in the unit of `Model.rate`.
      params: weights and bounds.
      now: time in seconds on the clock of the history.

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
    following.follow_demand(draft, params, now)
    return draft.moves


def pause_after(cpu_s: float, interval_s: float) -> float:
    """Returns seconds to wait from one plan to the next.

    Args:
      cpu_s: processor time in seconds that the last plan took.
      interval_s: configured interval, which is kept while it is affordable.
    """
    return max(interval_s, cpu_s / PLANNING_SHARE)


class _Planner:
    """The duties of a plan over one draft."""

    def __init__(self, draft: drafts.Draft, params: layout.Params, now: float):
        self._draft = draft
        self._params = params
        self._now = now

    def repair(self) -> None:
        """Loads models that have fewer replicas than they must."""
        draft = self._draft
        busiest = sorted(draft.models, key=lambda n: (-draft.work[n], n))
        for name in busiest:
            wanted = max(1, draft.models[name].min_replicas)
            while len(draft.where[name]) < wanted:
                cause = self._cause(name)
                if not self._place(name, cause):
                    break

    def _cause(self, name: str) -> layout.Cause:
        older = self._draft.old.get(name, {})
        if not older:
            return layout.Cause.REPAIR
        if any(not self._draft.engines[e].leaving for e in older):
            return layout.Cause.VERSION
        return layout.Cause.DRAIN

    def _place(self, name: str, cause: layout.Cause) -> bool:
        option = self._cheapest(name, _FAR_PAST_S)
        if option is not None:
            self._draft.replace(name, option.engine, option.evicted, cause)
            return True
        return self._relocate_for(name, cause)

    def _cheapest(self, name: str, no_undo_s: float) -> _Option | None:
        """Finds a target by evictions, then new domain, then load."""
        draft = self._draft
        size = draft.models[name].bytes
        used = draft.domains(draft.where[name])
        best: tuple[tuple, _Option] | None = None
        for engine in draft.usable:
            if engine.name in draft.where[name]:
                continue
            spares: list[drafts.Spare] = []
            if draft.free[engine.name] < size:
                spares = draft.surplus(engine.name, self._now, no_undo_s)
            evicted = draft.room(engine.name, size, spares)
            if evicted is None:
                continue
            rank = (
                len(evicted),
                engine.domain in used,
                round(draft.split.load.get(engine.name, 0.0), 2),
                -draft.free[engine.name],
                engine.name,
            )
            if best is None or rank < best[0]:
                best = (rank, _Option(engine.name, tuple(evicted)))
        return best[1] if best else None

    def _relocate_for(self, name: str, cause: layout.Cause) -> bool:
        """Makes room by moving last replicas into free room elsewhere."""
        draft = self._draft
        size = draft.models[name].bytes
        for engine in draft.usable:
            if engine.name in draft.where[name]:
                continue
            moves = self._relocations(engine.name, size)
            if moves is None:
                continue
            for other, target in moves:
                draft.load(other, target, layout.Cause.ROOM)
            for other, _ in moves:
                version = draft.models[other].version
                draft.unload(other, version, engine.name, layout.Cause.ROOM)
            draft.load(name, engine.name, cause)
            return True
        return False

    def _relocations(
        self, engine: str, size: int
    ) -> list[tuple[str, str]] | None:
        draft = self._draft
        free = dict(draft.free)
        short = size - free[engine]
        found: list[tuple[str, str]] = []
        movable = sorted(
            (n for n in draft.held(engine) if engine in draft.ready[n]),
            key=lambda n: (-draft.models[n].bytes, n),
        )
        for other in movable:
            if short <= 0:
                break
            target = self._free_engine(other, engine, free)
            if target is None:
                continue
            free[target] -= draft.models[other].bytes
            short -= draft.models[other].bytes
            found.append((other, target))
        return found if short <= 0 else None

    def _free_engine(
        self, name: str, avoid: str, free: Mapping[str, int]
    ) -> str | None:
        draft = self._draft
        size = draft.models[name].bytes
        fits = [
            e.name
            for e in draft.usable
            if e.name != avoid
            and e.name not in draft.where[name]
            and free[e.name] >= size
        ]
        return min(fits, key=lambda e: (free[e], e)) if fits else None

    def change_versions(self) -> None:
        """Loads new versions beside old ones, then drops the old ones."""
        draft = self._draft
        for name in sorted(draft.old):
            if name not in draft.models:
                self._drop_unknown(name)
                continue
            stay = self._staying_old(name)
            while len(draft.where[name]) < len(stay):
                if not self._place(name, layout.Cause.VERSION):
                    break
            self._drop_old(name)

    def _staying_old(self, name: str) -> list[str]:
        older = self._draft.old.get(name, {})
        return sorted(e for e in older if not self._draft.engines[e].leaving)

    def _drop_unknown(self, name: str) -> None:
        draft = self._draft
        for engine, replica in sorted(draft.old[name].items()):
            draft.unload(name, replica.version, engine, layout.Cause.VERSION)

    def _drop_old(self, name: str) -> None:
        """Drops outdated replicas that the demand can spare.

        Where nothing more of the new version can be placed, one is dropped
        all the same, to make room for it.
        """
        draft = self._draft
        needed = draft.work[name] / self._params.target_load
        ready = len(draft.ready[name])
        stuck = ready == len(draft.where[name])
        for engine in self._staying_old(name):
            left = ready + len(self._staying_old(name)) - 1
            if not ready or (left < needed and not stuck):
                return
            stuck = False
            version = draft.old[name][engine].version
            draft.unload(name, version, engine, layout.Cause.VERSION)

    def empty_leaving(self) -> None:
        """Unloads what is served elsewhere, then changes the role."""
        draft = self._draft
        for engine in draft.engines.values():
            if not engine.leaving:
                continue
            here = [n for n, old in draft.old.items() if engine.name in old]
            for name in sorted(here):
                if draft.ready.get(name):
                    version = draft.old[name][engine.name].version
                    draft.unload(name, version, engine.name, layout.Cause.DRAIN)
            if not engine.replicas and engine.role != engine.wanted_role:
                draft.moves.append(_set_role(engine))

    def spread(self) -> None:
        """Gives each model a second failure domain where room is free."""
        draft = self._draft
        if len({e.domain for e in draft.usable}) < 2:
            return
        for name in sorted(draft.models, key=lambda n: (-draft.work[n], n)):
            places = draft.where[name]
            if len(places) == 0 or len(draft.domains(places)) > 1:
                continue
            target = self._other_domain(name)
            if target is not None:
                draft.load(name, target, layout.Cause.SPREAD)

    def _other_domain(self, name: str) -> str | None:
        draft = self._draft
        used = draft.domains(draft.where[name])
        size = draft.models[name].bytes
        fits = [
            e.name
            for e in draft.usable
            if e.domain not in used
            and draft.free[e.name] >= size
            and not draft.just_unloaded(
                e.name, name, self._now, self._params.no_undo_s
            )
        ]
        loads = draft.split.load
        return min(fits, key=lambda e: (loads[e], e)) if fits else None


def _set_role(engine: layout.Engine) -> layout.Move:
    return layout.Move(
        layout.MoveKind.SET_ROLE,
        engine.name,
        engine.wanted_role,
        "",
        0,
        layout.Cause.ROLE,
    )


def predicted_load(
    fleet: drafts.Fleet, demand: Mapping[str, float]
) -> balance.Split:
    """Returns the loads that a plan would start from, for status pages.

    Args:
      fleet: the fleet as a plan sees it.
      demand: work per second by model.
    """
    work = {m.name: demand.get(m.name, 0.0) / m.rate for m in fleet.models}
    return drafts.Draft(fleet, work).split
