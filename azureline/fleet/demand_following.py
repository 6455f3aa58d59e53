"""Adds replicas for models in demand where the gain exceeds the move cost."""

from collections.abc import Sequence
from typing import NamedTuple

from azureline.fleet import draft as drafts
from azureline.fleet import gain
from azureline.fleet import plan_types

_MAX_CANDIDATES = 8
"""Models that are tried for one load, and engines that are tried for each."""


class _Offer(NamedTuple):
    model: str
    engine: str
    evicted: tuple[drafts.EvictableReplica, ...]
    effect: gain.LoadEffect
    worth: float


def follow_demand(
    draft: drafts.Draft, params: plan_types.Params, now: float
) -> None:
    """Adds loads whose gain over the horizon exceeds their cost.

    Args:
      draft: the fleet after the moves that take precedence over demand.
      params: weights and bounds.
      now: time in seconds.
    """
    follower = _DemandFollower(draft, params, now)
    for _ in range(params.moves_per_plan):
        offer = follower.best_offer()
        if offer is None:
            return
        cause = plan_types.Cause.DEMAND
        draft.replace(offer.model, offer.engine, offer.evicted, cause)
        gain.apply(draft, offer.effect)


class _DemandFollower:
    """Evaluates additional replicas for one draft."""

    def __init__(
        self, draft: drafts.Draft, params: plan_types.Params, now: float
    ):
        self._draft = draft
        self._params = params
        self._now = now

    def best_offer(self) -> _Offer | None:
        """Returns the load with the highest net worth, or None."""
        missed = self._missed_work()
        ranked = sorted(missed, key=lambda n: (-missed[n], n))
        loads = self._draft.split.load
        least_loaded = sorted(loads, key=lambda e: (loads[e], e))
        offers = [
            offer
            for name in ranked[:_MAX_CANDIDATES]
            if (offer := self._best_offer_for(name, least_loaded)) is not None
        ]
        return max(offers, key=lambda o: o.worth) if offers else None

    def _missed_work(self) -> dict[str, float]:
        """Returns the missed work of each model that could repay a move."""
        split, slots = self._draft.split, self._params.slots
        missed = {
            name: gain.missed_work(per, split.load, slots)
            for name, per in split.shares.items()
            if self._draft.work[name] > 0.0
        }
        floor = self._min_gain()
        return {n: work for n, work in missed.items() if work > floor}

    def _min_gain(self) -> float:
        params = self._params
        cost = params.move_weight * params.move_cost_s
        return cost / (params.attainment_weight * params.horizon_s)

    def _best_offer_for(
        self, name: str, least_loaded: Sequence[str]
    ) -> _Offer | None:
        draft = self._draft
        tried = 0
        best: _Offer | None = None
        for engine in least_loaded:
            if engine in draft.serving(name):
                continue
            if draft.recently_unloaded(
                engine, name, self._now, self._params.min_stay_s
            ):
                continue
            tried += 1
            if tried > _MAX_CANDIDATES:
                break
            offer = self._evaluate(name, engine)
            if offer and (best is None or offer.worth > best.worth):
                best = offer
        return best

    def _evaluate(self, name: str, engine: str) -> _Offer | None:
        """Returns the offer if its net worth over the horizon is positive."""
        draft, params = self._draft, self._params
        evictable = draft.evictable_replicas(
            engine, self._now, params.min_stay_s
        )
        evicted = draft.evictions_for(
            engine, draft.models[name].bytes, evictable
        )
        if evicted is None:
            return None
        effect = gain.of_replica(draft, name, engine, evicted, params)
        extra = sum(self._domain_loss_cost(s.model, engine) for s in evicted)
        moves = 1 + params.eviction_cost_moves * len(evicted)
        worth = params.attainment_weight * (
            effect.gain * params.horizon_s - extra
        )
        worth -= params.move_weight * params.move_cost_s * moves
        if worth <= 0.0:
            return None
        return _Offer(name, engine, tuple(evicted), effect, worth)

    def _domain_loss_cost(self, name: str, engine: str) -> float:
        draft = self._draft
        if engine not in draft.engines_by_model.get(name, ()):
            return 0.0
        remaining = draft.domains(draft.engines_by_model[name] - {engine})
        before = draft.domains(draft.engines_by_model[name])
        narrows = len(remaining) < 2 <= len(before)
        return self._params.spread_cost_s if narrows else 0.0
