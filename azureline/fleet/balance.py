"""Predicts how routing splits the demand over replicas."""

from collections.abc import Collection
from collections.abc import Mapping
from typing import NamedTuple

ROUNDS = 8
"""Passes of the split; more change the loads by under a hundredth."""

_EPSILON = 1e-6


class Split(NamedTuple):
    """A division of the work over engines.

    Attributes:
      load: fraction of each engine's speed in use; over 1 is overload.
      shares: engine units of work by model, then by engine.
    """

    load: dict[str, float]
    shares: dict[str, dict[str, float]]


def split(
    where: Mapping[str, Collection[str]],
    work: Mapping[str, float],
    speeds: Mapping[str, float],
    rounds: int = ROUNDS,
) -> Split:
    """Divides work so that the loads of engines come near each other.

    Each pass lowers a share by the square root of its engine's load, which
    converges where a full step would swing between two engines.

    Args:
      where: engines that serve each model.
      work: engine units of work by model.
      speeds: speed of each engine.
      rounds: number of passes.

    Returns:
      The loads and shares after the last pass.
    """
    shares = {
        name: dict.fromkeys(engines, work.get(name, 0.0) / len(engines))
        for name, engines in where.items()
        if engines
    }
    spread = [
        (name, per)
        for name, per in shares.items()
        if len(per) > 1 and work.get(name, 0.0) > 0.0
    ]
    for _ in range(rounds):
        root = {
            engine: (value + _EPSILON) ** 0.5
            for engine, value in _loads(shares, speeds).items()
        }
        for name, per in spread:
            weights = [value / root[engine] for engine, value in per.items()]
            scale = work[name] / sum(weights)
            for engine, weight in zip(list(per), weights, strict=True):
                per[engine] = weight * scale
    return Split(_loads(shares, speeds), shares)


def _loads(
    shares: Mapping[str, Mapping[str, float]], speeds: Mapping[str, float]
) -> dict[str, float]:
    load = dict.fromkeys(speeds, 0.0)
    for per in shares.values():
        for engine, value in per.items():
            load[engine] += value / speeds[engine]
    return load
