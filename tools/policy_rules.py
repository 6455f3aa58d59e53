"""Placement policies: the planner's own and the baselines it is compared to.

`CEILING` is an upper bound and not a baseline: it serves every model on every
engine, as if memory were unlimited.  No placement can exceed its attainment.

The safety rules are the same for all policies: models without a replica get
one and draining engines are emptied.  The executor, the memory accounting and
the load limits of the weight store are the same too.
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
    """A policy that decides which engine holds which model."""

    AZURELINE = "azureline"
    STATIC = "static"
    LRU = "least_recently_used"
    FOLLOW = "follow_every_change"
    CEILING = "every_model_everywhere"


class Window(NamedTuple):
    """Requests observed since the last plan.

    Attributes:
      offered: offered requests per second by model.
      refused: refused requests per second by model.
      last_used: virtual time in seconds of the last request by engine and
        model.
    """

    offered: Mapping[str, float]
    refused: Mapping[str, float]
    last_used: Mapping[tuple[str, str], float]


class Rule:
    """A policy together with its demand estimate."""

    def __init__(self, policy: Policy, params: plan_types.Params):
        self._policy = policy
        self._params = params
        self._demand = demand_estimate.DemandEstimator()

    def propose(
        self, now: float, fleet: drafts.PlanInput, window: Window
    ) -> list[plan_types.Move]:
        """Returns the moves that the policy proposes."""
        if self._policy is Policy.CEILING:
            return []
        self._demand.observe(now, window.offered)
        rates = self._demand.rates
        if self._policy is Policy.AZURELINE:
            return placement.plan(fleet, rates, self._params, now)
        fixed = self._params._replace(moves_per_plan=0)
        proposed = placement.plan(fleet, rates, fixed, now)
        pending = fleet.pending + tuple(
            drafts.PendingMove(move, now) for move in proposed
        )
        fleet = fleet._replace(pending=pending)
        match self._policy:
            case Policy.LRU:
                return proposed + _least_recently_used(fleet, window)
            case Policy.FOLLOW:
                return proposed + _follow_every_change(
                    fleet, window, self._params
                )
        return proposed


def _draft(fleet: drafts.PlanInput, window: Window) -> drafts.Draft:
    work = {
        m.name: window.offered.get(m.name, 0) / m.rate for m in fleet.models
    }
    return drafts.Draft(fleet, work)


def _least_recently_used(
    fleet: drafts.PlanInput, window: Window
) -> list[plan_types.Move]:
    """Loads refused models in place of the least recently used ones."""
    draft = _draft(fleet, window)
    loading_models = {p.move.target for p in fleet.pending}
    for name in sorted(window.refused, key=lambda n: -window.refused[n]):
        if window.refused[name] > 0 and name not in loading_models:
            _load_replacing_oldest(draft, name, window)
    return draft.moves


def _load_replacing_oldest(
    draft: drafts.Draft, name: str, window: Window
) -> None:
    best = None
    for engine in draft.usable:
        if engine.name in draft.engines_by_model[name]:
            continue

        def last_used_at(
            replica: drafts.EvictableReplica, engine_name: str = engine.name
        ) -> float:
            return window.last_used.get((engine_name, replica.model), 0.0)

        evictable = draft.evictable_replicas(engine.name, 0.0, float("-inf"))
        evictable.sort(key=last_used_at)
        evicted = draft.evictions_for(
            engine.name, draft.models[name].bytes, evictable
        )
        if evicted is not None:
            newest = max((last_used_at(s) for s in evicted), default=-1.0)
            sort_key = (newest, engine.name)
            if best is None or sort_key < best[0]:
                best = (sort_key, engine.name, evicted)
    if best is None:
        return
    for replica in best[2]:
        draft.unload(
            replica.model, replica.version, best[1], plan_types.Cause.ROOM
        )
    draft.load(name, best[1], plan_types.Cause.DEMAND)


def _follow_every_change(
    fleet: drafts.PlanInput, window: Window, params: plan_types.Params
) -> list[plan_types.Move]:
    """Gives each model as many replicas as its last window's demand needs."""
    draft = _draft(fleet, window)
    targets = {
        name: max(1, math.ceil(work / params.target_load))
        for name, work in draft.work.items()
    }
    for name in sorted(targets, key=lambda n: (-draft.work[n], n)):
        while len(draft.engines_by_model[name]) < targets[name]:
            if not _load_replacing_excess(draft, name, targets):
                break
    return draft.moves


def _load_replacing_excess(
    draft: drafts.Draft, name: str, targets: Mapping[str, int]
) -> bool:
    """Loads a replica, evicting models that have more than their target."""
    loads = draft.split.load
    for engine in sorted(loads, key=lambda e: (loads[e], e)):
        if engine in draft.engines_by_model[name]:
            continue
        evictable = [
            replica
            for replica in draft.evictable_replicas(engine, 0.0, float("-inf"))
            if len(draft.engines_by_model[replica.model])
            > targets[replica.model]
        ]
        evicted = draft.evictions_for(
            engine, draft.models[name].bytes, evictable
        )
        if evicted is None:
            continue
        for replica in evicted:
            draft.unload(
                replica.model, replica.version, engine, plan_types.Cause.ROOM
            )
        draft.load(name, engine, plan_types.Cause.DEMAND)
        return True
    return False
