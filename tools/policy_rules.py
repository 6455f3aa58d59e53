"""The planner's policy and the plain baselines that it is measured against.

`CEILING` is no baseline: it serves every model on every engine as if memory
were free, which bounds what any placement can attain.

Every policy keeps the same safety: models without a replica are repaired,
leaving engines emptied, and the executor, memory accounting and store limits
are shared.
"""

from collections.abc import Mapping
import enum
import math
from typing import NamedTuple

from azureline.fleet import demand_estimate
from azureline.fleet import draft as drafts
from azureline.fleet import placement
from azureline.fleet import plan_types


class Policy(enum.Enum):
    """What decides on replicas."""

    AZURELINE = "azureline"
    STATIC = "static"
    LRU = "least_recently_used"
    FOLLOW = "follow_every_change"
    CEILING = "every_model_everywhere"


class Window(NamedTuple):
    """What was seen since the last plan.

    Attributes:
      offered: requests per second by model.
      refused: requests per second that were refused, by model.
      last_used: time of the last request by engine and model.
    """

    offered: Mapping[str, float]
    refused: Mapping[str, float]
    last_used: Mapping[tuple[str, str], float]


class Rule:
    """One policy with its state."""

    def __init__(self, policy: Policy, params: plan_types.Params):
        self._policy = policy
        self._params = params
        self._demand = demand_estimate.DemandEstimator()

    def propose(
        self, now: float, fleet: drafts.PlanInput, window: Window
    ) -> list[plan_types.Move]:
        """Returns the moves that the policy wants."""
        if self._policy is Policy.CEILING:
            return []
        self._demand.observe(now, window.offered)
        rates = self._demand.rates
        if self._policy is Policy.AZURELINE:
            return placement.plan(fleet, rates, self._params, now)
        fixed = self._params._replace(moves_per_plan=0)
        moves = placement.plan(fleet, rates, fixed, now)
        pending = fleet.pending + tuple(
            drafts.PendingMove(move, now) for move in moves
        )
        fleet = fleet._replace(pending=pending)
        match self._policy:
            case Policy.LRU:
                return moves + _least_recently_used(fleet, window)
            case Policy.FOLLOW:
                return moves + _follow(fleet, window, self._params)
        return moves


def _draft(fleet: drafts.PlanInput, window: Window) -> drafts.Draft:
    work = {
        m.name: window.offered.get(m.name, 0) / m.rate for m in fleet.models
    }
    return drafts.Draft(fleet, work)


def _least_recently_used(
    fleet: drafts.PlanInput, window: Window
) -> list[plan_types.Move]:
    """Loads what was refused in place of what was used longest ago."""
    draft = _draft(fleet, window)
    loading = {p.move.target for p in fleet.pending}
    for name in sorted(window.refused, key=lambda n: -window.refused[n]):
        if window.refused[name] > 0 and name not in loading:
            _load_over_oldest(draft, name, window)
    return draft.moves


def _load_over_oldest(draft: drafts.Draft, name: str, window: Window) -> None:
    best = None
    for engine in draft.usable:
        if engine.name in draft.engines_by_model[name]:
            continue

        def used(
            replica: drafts.EvictableReplica, at: str = engine.name
        ) -> float:
            return window.last_used.get((at, replica.model), 0.0)

        evictable = draft.evictable_replicas(engine.name, 0.0, float("-inf"))
        evictable.sort(key=used)
        gone = draft.evictions_for(
            engine.name, draft.models[name].bytes, evictable
        )
        if gone is not None:
            newest = max((used(s) for s in gone), default=-1.0)
            rank = (newest, engine.name)
            if best is None or rank < best[0]:
                best = (rank, engine.name, gone)
    if best is None:
        return
    for replica in best[2]:
        draft.unload(
            replica.model, replica.version, best[1], plan_types.Cause.ROOM
        )
    draft.load(name, best[1], plan_types.Cause.DEMAND)


def _follow(
    fleet: drafts.PlanInput, window: Window, params: plan_types.Params
) -> list[plan_types.Move]:
    """Gives each model the replicas that the last window asks for."""
    draft = _draft(fleet, window)
    wanted = {
        name: max(1, math.ceil(work / params.target_load))
        for name, work in draft.work.items()
    }
    for name in sorted(wanted, key=lambda n: (-draft.work[n], n)):
        while len(draft.engines_by_model[name]) < wanted[name]:
            if not _load_over_excess(draft, name, wanted):
                break
    return draft.moves


def _load_over_excess(
    draft: drafts.Draft, name: str, wanted: Mapping[str, int]
) -> bool:
    """Loads a replica where replicas beyond their number make room."""
    loads = draft.split.load
    for engine in sorted(loads, key=lambda e: (loads[e], e)):
        if engine in draft.engines_by_model[name]:
            continue
        evictable = [
            replica
            for replica in draft.evictable_replicas(engine, 0.0, float("-inf"))
            if len(draft.engines_by_model[replica.model])
            > wanted[replica.model]
        ]
        gone = draft.evictions_for(engine, draft.models[name].bytes, evictable)
        if gone is None:
            continue
        for replica in gone:
            draft.unload(
                replica.model, replica.version, engine, plan_types.Cause.ROOM
            )
        draft.load(name, engine, plan_types.Cause.DEMAND)
        return True
    return False
