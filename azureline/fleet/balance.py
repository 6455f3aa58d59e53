"""Predicts how request routing splits the demand over replicas."""

from collections.abc import Collection
from collections.abc import Mapping
from typing import NamedTuple

ROUNDS = 8
"""Passes of the split; more passes change the loads by less than 0.01."""

_EPSILON = 1e-6


class Split(NamedTuple):
    """A distribution of the work over engines.

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
    """Splits the work so that the loads of the engines become similar.

    Each pass divides a share by the square root of its engine's load.  This
    converges, whereas dividing by the load itself would oscillate between two
    engines.

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
    splittable = [
        (name, share_by_engine)
        for name, share_by_engine in shares.items()
        if len(share_by_engine) > 1 and work.get(name, 0.0) > 0.0
    ]
    for _ in range(rounds):
        root_load = {
            engine: (value + _EPSILON) ** 0.5
            for engine, value in _loads(shares, speeds).items()
        }
        for name, share_by_engine in splittable:
            weights = [
                value / root_load[engine]
                for engine, value in share_by_engine.items()
            ]
            scale = work[name] / sum(weights)
            for engine, weight in zip(
                list(share_by_engine), weights, strict=True
            ):
                share_by_engine[engine] = weight * scale
    return Split(_loads(shares, speeds), shares)


def _loads(
    shares: Mapping[str, Mapping[str, float]], speeds: Mapping[str, float]
) -> dict[str, float]:
    load = dict.fromkeys(speeds, 0.0)
    for share_by_engine in shares.values():
        for engine, value in share_by_engine.items():
            load[engine] += value / speeds[engine]
    return load
