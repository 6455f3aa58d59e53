"""Predicts how much an additional replica of a model gains.

A request is missed when every replica of its model is full.  The probability
that an engine is full has two parts: the work in excess of its speed, which
pooling engines can't remove, and random fluctuation, which is computed with
Erlang's loss formula for the slots of a batch.  Fluctuations of different
engines are assumed to be independent, as is usual for loss networks (Kelly,
1991).
"""

import collections
from collections.abc import Mapping
from collections.abc import Sequence
import functools
from typing import NamedTuple

from azureline.fleet import draft as drafts
from azureline.fleet import plan_types

_WORK_PARTS = 6
"""Number of equal parts in which work is moved between replicas."""

_TABLE_STEPS_PER_UNIT = 50
_LOAD_MAX = 6.0


class FullProbability(NamedTuple):
    """Probability that an engine can't accept a request in time.

    Attributes:
      surplus: fraction of the work that exceeds the engine's speed.
      blocking: probability that a request of the remaining work finds all slots
        taken.
    """

    surplus: float
    blocking: float


def full_probability(load: float, slots: int) -> FullProbability:
    """Returns the probability that an engine is full.

    Values are looked up in a table with `_TABLE_STEPS_PER_UNIT` entries per
    unit of load.

    Args:
      load: offered work as a fraction of the engine's speed; values above
        `_LOAD_MAX` count as that.
      slots: requests that the engine generates concurrently.
    """
    table = _table(slots)
    return table[min(len(table) - 1, int(load * _TABLE_STEPS_PER_UNIT + 0.5))]


@functools.cache
def _table(slots: int) -> tuple[FullProbability, ...]:
    steps = int(_LOAD_MAX * _TABLE_STEPS_PER_UNIT)
    return tuple(
        _full(at / _TABLE_STEPS_PER_UNIT, slots) for at in range(steps + 1)
    )


def _full(load: float, slots: int) -> FullProbability:
    blocking = 1.0
    for taken in range(1, slots + 1):
        offered = load * slots * blocking
        blocking = offered / (taken + offered)
    surplus = max(0.0, 1.0 - 1.0 / load) if load else 0.0
    return FullProbability(
        surplus, max(0.0, (blocking - surplus) / (1.0 - surplus))
    )


def missed_work(
    work_by_engine: Mapping[str, float], loads: Mapping[str, float], slots: int
) -> float:
    """Returns the expected missed work of one model, in engine units.

    Args:
      work_by_engine: engine units of work of the model by engine.
      loads: load by engine, as a fraction of its speed.
      slots: requests that an engine generates concurrently.
    """
    total = sum(work_by_engine.values())
    chance, surplus = 1.0, 0.0
    for engine, work in work_by_engine.items():
        state = full_probability(loads[engine], slots)
        surplus += work * state.surplus
        chance *= state.blocking
    return surplus + (total - surplus) * chance


class LoadEffect(NamedTuple):
    """The predicted effect of a load on the distribution of work.

    Attributes:
      gain: decrease of missed work in engine units; may be negative.
      loads: new load by engine.
      shares: new shares by model, then by engine.
    """

    gain: float
    loads: Mapping[str, float]
    shares: Mapping[str, Mapping[str, float]]


class _TentativeLoads:
    """Tentative loads of the few engines that a move affects."""

    def __init__(self, draft: drafts.Draft):
        self._draft = draft
        self.loads: dict[str, float] = {}

    def load(self, engine: str) -> float:
        return self.loads.get(engine, self._draft.split.load[engine])

    def add(self, engine: str, work: float) -> None:
        speed = self._draft.engines[engine].speed
        self.loads[engine] = self.load(engine) + work / speed

    def gain(
        self, shares: Mapping[str, Mapping[str, float]], slots: int
    ) -> float:
        """Returns the decrease of missed work of models on affected engines."""
        draft = self._draft
        models = set(shares)
        for engine in self.loads:
            models |= draft.models_on(engine)
        before = draft.split.load
        after = collections.ChainMap(self.loads, before)
        total = 0.0
        for model in models:
            old = draft.split.shares.get(model)
            if old:
                total += missed_work(old, before, slots)
                total -= missed_work(shares.get(model, old), after, slots)
        return total


def of_replica(
    draft: drafts.Draft,
    model: str,
    engine: str,
    evicted: Sequence[drafts.EvictableReplica],
    params: plan_types.Params,
) -> LoadEffect:
    """Predicts the effect of loading a model after the given evictions.

    Args:
      draft: the fleet before the load.
      model: name of the model.
      engine: engine that would load it.
      evicted: replicas on that engine that would be evicted first.
      params: parameters of the policy.
    """
    trial = _TentativeLoads(draft)
    shares: dict[str, dict[str, float]] = {}
    for replica in evicted:
        if replica.model in draft.models:
            shares[replica.model] = _reassign_work(
                draft, trial, replica.model, engine
            )
    shares[model] = _rebalance_onto(draft, trial, model, engine)
    return LoadEffect(trial.gain(shares, params.slots), trial.loads, shares)


def _reassign_work(
    draft: drafts.Draft, trial: _TentativeLoads, model: str, engine: str
) -> dict[str, float]:
    """Moves the work of an evicted replica to the least loaded others."""
    per = dict(draft.split.shares.get(model, {}))
    share = per.pop(engine, 0.0)
    trial.add(engine, -share)
    for _ in range(_WORK_PARTS if per else 0):
        least_loaded = min(per, key=lambda e: (trial.load(e), e))
        trial.add(least_loaded, share / _WORK_PARTS)
        per[least_loaded] += share / _WORK_PARTS
    return per


def _rebalance_onto(
    draft: drafts.Draft, trial: _TentativeLoads, model: str, engine: str
) -> dict[str, float]:
    """Moves work from the most loaded replicas until loads are balanced."""
    per = dict(draft.split.shares.get(model, {}))
    part = sum(per.values()) / _WORK_PARTS
    moved = 0.0
    for _ in range(_WORK_PARTS):
        sources = [e for e in per if per[e] > 0.0]
        if not sources:
            break
        most_loaded = max(sources, key=lambda e: (trial.load(e), e))
        gap = trial.load(most_loaded) - trial.load(engine)
        if gap <= 0.0:
            break
        amount = min(part, per[most_loaded], gap / 2)
        trial.add(most_loaded, -amount)
        trial.add(engine, amount)
        per[most_loaded] -= amount
        moved += amount
    per[engine] = moved
    return per


def apply(draft: drafts.Draft, effect: LoadEffect) -> None:
    """Applies a predicted change to the loads of a draft."""
    split = draft.split
    split.load.update(effect.loads)
    for model, per in effect.shares.items():
        split.shares[model] = dict(per)
