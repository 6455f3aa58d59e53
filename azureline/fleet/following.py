"""Adds replicas where the demand is, if they pay back."""

from collections.abc import Sequence
from typing import NamedTuple

from azureline.fleet import draft as drafts
from azureline.fleet import gain
from azureline.fleet import layout

_CANDIDATES = 8
"""Models, and engines for each, that are tried for one load."""


class _Offer(NamedTuple):
    model: str
    engine: str
    evicted: tuple[drafts.Spare, ...]
    shift: gain.Shift
    worth: float


def follow_demand(
    draft: drafts.Draft, params: layout.Params, now: float
) -> None:
    """Adds loads to a draft that pay back within the horizon.

    Args:
      draft: the fleet after the moves that come before demand.
      params: weights and bounds.
      now: time in seconds.
    """
    follower = _Follower(draft, params, now)
    for _ in range(params.moves_per_plan):
        offer = follower.best_offer()
        if offer is None:
            return
        cause = layout.Cause.DEMAND
        draft.replace(offer.model, offer.engine, offer.evicted, cause)
        gain.apply(draft, offer.shift)


class _Follower:
    """Weighs further replicas over one draft."""

    def __init__(self, draft: drafts.Draft, params: layout.Params, now: float):
        self._draft = draft
        self._params = params
        self._now = now

    def best_offer(self) -> _Offer | None:
        """Returns the load that is worth most beyond its cost."""
        pressure = self._pressure()
        ranked = sorted(pressure, key=lambda n: (-pressure[n], n))
        loads = self._draft.split.load
        coldest = sorted(loads, key=lambda e: (loads[e], e))
        offers = [
            offer
            for name in ranked[:_CANDIDATES]
            if (offer := self._offer(name, coldest)) is not None
        ]
        return max(offers, key=lambda o: o.worth) if offers else None

    def _pressure(self) -> dict[str, float]:
        """Returns the missed work of the models that miss any."""
        split, slots = self._draft.split, self._params.slots
        pressure = {
            name: gain.missed(per, split.load, slots)
            for name, per in split.shares.items()
            if self._draft.work[name] > 0.0
        }
        floor = self._least_gain()
        return {n: work for n, work in pressure.items() if work > floor}

    def _least_gain(self) -> float:
        params = self._params
        cost = params.move_weight * params.move_cost_s
        return cost / (params.attainment_weight * params.horizon_s)

    def _offer(self, name: str, coldest: Sequence[str]) -> _Offer | None:
        draft = self._draft
        tried = 0
        best: _Offer | None = None
        for engine in coldest:
            if engine in draft.serving(name):
                continue
            if draft.just_unloaded(
                engine, name, self._now, self._params.no_undo_s
            ):
                continue
            tried += 1
            if tried > _CANDIDATES:
                break
            offer = self._weigh(name, engine)
            if offer and (best is None or offer.worth > best.worth):
                best = offer
        return best

    def _weigh(self, name: str, engine: str) -> _Offer | None:
        """Returns the offer if its worth over the horizon pays the move."""
        draft, params = self._draft, self._params
        spares = draft.surplus(engine, self._now, params.no_undo_s)
        evicted = draft.room(engine, draft.models[name].bytes, spares)
        if evicted is None:
            return None
        shift = gain.of_replica(draft, name, engine, evicted, params)
        extra = sum(self._spread_cost(s.model, engine) for s in evicted)
        moves = 1 + params.eviction_moves * len(evicted)
        worth = params.attainment_weight * (
            shift.gain * params.horizon_s - extra
        )
        worth -= params.move_weight * params.move_cost_s * moves
        if worth <= 0.0:
            return None
        return _Offer(name, engine, tuple(evicted), shift, worth)

    def _spread_cost(self, name: str, engine: str) -> float:
        draft = self._draft
        if engine not in draft.where.get(name, ()):
            return 0.0
        left = draft.domains(draft.where[name] - {engine})
        before = draft.domains(draft.where[name])
        narrows = len(left) < 2 <= len(before)
        return self._params.spread_cost_s if narrows else 0.0
