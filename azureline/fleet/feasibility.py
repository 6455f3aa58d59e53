"""Checks whether a configuration can be served at all."""

from collections.abc import Sequence
from typing import NamedTuple

from azureline.fleet import layout


class Infeasible(NamedTuple):
    """Falsy sentinel: no sequence of safe moves serves the configuration.

    Attributes:
      reason: a sentence for the operator, with the figures.
    """

    reason: str

    def __bool__(self) -> bool:
        return False


class _Bin(NamedTuple):
    name: str
    free: int
    models: frozenset[str]


def feasible(
    models: Sequence[layout.Model],
    engines: Sequence[layout.Engine],
    params: layout.Params,
) -> Infeasible | None:
    """Looks for a placement that leaves room to move any model.

    Besides one place for each required replica there must be a hole for the
    largest model on an engine that does not hold all its replicas already:
    every load goes before the unload that it replaces, so without a hole
    nothing could ever be moved, nor a version changed.  With one, any model
    can go to the hole, and each move can be taken back.

    Args:
      models: the models to serve.
      engines: the engines, empty; their `capacity` counts.
      params: bounds of the policy.

    Returns:
      None if a placement exists, else why none was found.
    """
    del params  # The weights do not change what fits.
    serving = [e for e in engines if e.wanted_role == "model"]
    if not models:
        return None
    simple = _simple_bounds(models, serving)
    if simple is not None:
        return simple
    largest = max(models, key=lambda m: (m.bytes, m.name))
    if _pack(models, serving, 0) is None:
        return Infeasible(_misfit(models, serving, "the required replicas"))
    if _pack(models, serving, largest.bytes) is None:
        return Infeasible(
            f"the replicas fit, but no engine keeps {largest.bytes} bytes "
            f"free to load another copy of {largest.name} before unloading "
            "the first; moves and version changes would be impossible"
        )
    return None


def _simple_bounds(
    models: Sequence[layout.Model], engines: Sequence[layout.Engine]
) -> Infeasible | None:
    if not engines:
        return Infeasible("no engine has the role of serving models")
    roomiest = max(engine.capacity for engine in engines)
    for model in models:
        if model.bytes > roomiest:
            return Infeasible(
                f"{model.name} needs {model.bytes} bytes; the largest engine "
                f"has {roomiest} beside its cache reserve"
            )
        if model.min_replicas > len(engines):
            return Infeasible(
                f"{model.name} wants {model.min_replicas} replicas on "
                f"{len(engines)} engines"
            )
    needed = sum(m.bytes * max(1, m.min_replicas) for m in models)
    total = sum(engine.capacity for engine in engines)
    if needed > total:
        return Infeasible(
            f"all models need {needed} bytes; the engines have {total} "
            "beside their cache reserves"
        )
    return None


def _misfit(
    models: Sequence[layout.Model],
    engines: Sequence[layout.Engine],
    what: str,
) -> str:
    needed = sum(m.bytes * max(1, m.min_replicas) for m in models)
    total = sum(engine.capacity for engine in engines)
    return (
        f"{what} need {needed} of {total} bytes, but no division over "
        f"{len(engines)} engines was found in which each fits"
    )


def _pack(
    models: Sequence[layout.Model],
    engines: Sequence[layout.Engine],
    hole: int,
) -> list[_Bin] | None:
    """Tries best fit and worst fit, largest first; None if both fail."""
    for widest in (False, True):
        bins = _pack_by(models, engines, hole, widest)
        if bins is not None:
            return bins
    return None


def _pack_by(
    models: Sequence[layout.Model],
    engines: Sequence[layout.Engine],
    hole: int,
    widest: bool,
) -> list[_Bin] | None:
    bins = [_Bin(e.name, e.capacity, frozenset()) for e in engines]
    if hole:
        at = max(range(len(bins)), key=lambda i: bins[i].free)
        bins[at] = bins[at]._replace(free=bins[at].free - hole)
    for model in sorted(models, key=lambda m: (-m.bytes, m.name)):
        for _ in range(max(1, model.min_replicas)):
            at = _choose(bins, model, widest)
            if at is None:
                return None
            bins[at] = _Bin(
                bins[at].name,
                bins[at].free - model.bytes,
                bins[at].models | {model.name},
            )
    return bins


def _choose(
    bins: Sequence[_Bin], model: layout.Model, widest: bool
) -> int | None:
    fits = [
        i
        for i, b in enumerate(bins)
        if b.free >= model.bytes and model.name not in b.models
    ]
    if not fits:
        return None
    pick = max if widest else min
    return pick(fits, key=lambda i: (bins[i].free, i))
