"""Decides whether a configuration's models fit its engines at all.

Every model must be resident with its least number of replicas, and there must
be room for moving: on some engine, as much free memory as the largest model
takes.  Any one replica can then be loaded beside the old one before that is
unloaded, so an order of loads and unloads exists in which every model stays
reachable and no memory is overcommitted.

Packing is first-fit decreasing.  It may miss a packing that exists; the sums
that are tested first are proofs.
"""

from collections.abc import Iterable
from typing import NamedTuple

from azureline.config import schema

GIB = 2**30
SPARE = ""


class Infeasible(NamedTuple):
    """Falsy sentinel: the models do not fit.

    Attributes:
      reason: which sum exceeds what, for people.
    """

    reason: str

    def __bool__(self) -> bool:
        return False


class Packing(NamedTuple):
    """Replicas on engines such that every least number is met.

    Attributes:
      models: names of the models on each engine, by engine name.
      free_bytes: memory for models that stays free on each engine, in bytes,
        with the room for moving counted as free.
    """

    models: dict[str, tuple[str, ...]]
    free_bytes: dict[str, int]


class _Item(NamedTuple):
    """A replica to be placed; the room for moving has the name `SPARE`."""

    model: str
    size: int


def usable_bytes(engine: schema.Engine, limits: schema.Limits) -> int:
    """Returns the memory of an engine that models may take, in bytes."""
    return int(engine.memory_bytes * (1 - limits.cache_reserve_ratio))


def pack(
    models: dict[str, schema.Model], capacities: dict[str, int]
) -> Packing | Infeasible:
    """Places every model's least number of replicas, with room for moving.

    Args:
      models: the models by name.
      capacities: bytes that models may take on each engine, by name.

    Returns:
      A packing, or why there is none or none was found.
    """
    if not models:
        return Packing({name: () for name in capacities}, dict(capacities))
    reason = _impossible(models, capacities)
    if reason:
        return Infeasible(reason)
    items = _items(models)
    placed: dict[str, list[str]] = {name: [] for name in capacities}
    free = dict(capacities)
    for item in items:
        engine = _first_fit(item, placed, free)
        if engine is None:
            return Infeasible(_no_packing(item, free))
        placed[engine].append(item.model)
        free[engine] -= item.size
    return _packing(placed, free, items)


def lost_groups(configuration: schema.Configuration) -> list[str]:
    """Returns a sentence for each loss after which the models do not fit.

    Considers the loss of one engine, the largest first, and of one failure
    domain.
    """
    engines = _serving(configuration)
    groups = {
        f"engine {name}": {name} for name in _one_of_each_size(engines.items())
    }
    for domain in sorted({engine.domain for engine in engines.values()}):
        groups[f"failure domain {domain}"] = {
            name for name, engine in engines.items() if engine.domain == domain
        }
    sentences = []
    for label, lost in groups.items():
        capacities = capacities_of(configuration, without=lost)
        packing = pack(configuration.models, capacities)
        if isinstance(packing, Infeasible):
            sentences.append(f"without {label}: {packing.reason}")
    return sentences


def capacities_of(
    configuration: schema.Configuration, without: Iterable[str] = ()
) -> dict[str, int]:
    """Returns the bytes that models may take on each engine, by name."""
    return {
        name: usable_bytes(engine, configuration.limits)
        for name, engine in _serving(configuration).items()
        if name not in without
    }


def oversized_adapters(configuration: schema.Configuration) -> dict[str, str]:
    """Returns why an adapter can never be loaded, by its name.

    Adapters take their memory from the share that models leave.
    """
    reserves = [
        engine.memory_bytes - usable_bytes(engine, configuration.limits)
        for engine in _serving(configuration).values()
    ]
    largest = max(reserves, default=0)
    return {
        name: f"needs {_gib(adapter.memory_bytes)}, more than the "
        f"{_gib(largest)} that models leave on any engine"
        for name, adapter in configuration.adapters.items()
        if adapter.memory_bytes > largest
    }


def _serving(
    configuration: schema.Configuration,
) -> dict[str, schema.Engine]:
    """Returns the engines on which a model is reachable, by name."""
    return {
        name: engine
        for name, engine in configuration.engines.items()
        if engine.role == "model"
    }


def _items(models: dict[str, schema.Model]) -> list[_Item]:
    """Returns the replicas and the room for moving, the largest first."""
    items = [_Item(SPARE, max(m.memory_bytes for m in models.values()))]
    for name, model in models.items():
        items += [_Item(name, model.memory_bytes)] * model.min_replicas
    return sorted(items, key=lambda item: (-item.size, item.model))


def _first_fit(
    item: _Item, placed: dict[str, list[str]], free: dict[str, int]
) -> str | None:
    for engine, models in placed.items():
        if free[engine] >= item.size and item.model not in models:
            return engine
    return None


def _packing(
    placed: dict[str, list[str]], free: dict[str, int], items: list[_Item]
) -> Packing:
    spare = next(item.size for item in items if item.model == SPARE)
    models = {}
    for engine, names in placed.items():
        if SPARE in names:
            free[engine] += spare
        models[engine] = tuple(name for name in names if name != SPARE)
    return Packing(models, free)


def _impossible(
    models: dict[str, schema.Model], capacities: dict[str, int]
) -> str:
    """Returns why no packing can exist, or "" if that is not known."""
    if not capacities:
        return "there is no engine that can hold models"
    largest = max(capacities.values())
    for name, model in models.items():
        if model.memory_bytes > largest:
            return (
                f"model {name} needs {_gib(model.memory_bytes)}, more than the "
                f"{_gib(largest)} for models on the largest engine"
            )
        if model.min_replicas > len(capacities):
            return (
                f"model {name} needs {model.min_replicas} replicas on as many "
                f"engines, but there are {len(capacities)}"
            )
    return _sum_exceeded(models, capacities) or _halves(models, capacities)


def _sum_exceeded(
    models: dict[str, schema.Model], capacities: dict[str, int]
) -> str:
    items = _items(models)
    needed = sum(item.size for item in items)
    room = sum(capacities.values())
    if needed <= room:
        return ""
    spare = max(model.memory_bytes for model in models.values())
    return (
        f"the least replicas of all models need {_gib(needed - spare)}, and "
        f"room for moving the largest of them {_gib(spare)}; together "
        f"{_gib(needed)}, more than the {_gib(room)} that the "
        f"{len(capacities)} engines have for models"
    )


def _halves(models: dict[str, schema.Model], capacities: dict[str, int]) -> str:
    """Counts replicas of which no engine holds two."""
    half = max(capacities.values()) / 2
    large = [item for item in _items(models) if item.size > half]
    if len(large) <= len(capacities):
        return ""
    return (
        f"{len(large)} replicas, room for moving counted as one, need more "
        f"than {_gib(half)} each, so that no engine holds two, but there are "
        f"{len(capacities)} engines"
    )


def _no_packing(item: _Item, free: dict[str, int]) -> str:
    what = f"model {item.model}" if item.model else "room for moving"
    return (
        f"no placement was found: {what} needs {_gib(item.size)} on one "
        f"engine, but after the larger ones the most that is free on an "
        f"engine is {_gib(max(free.values()))}, of {_gib(sum(free.values()))} "
        f"free on all"
    )


def _one_of_each_size(
    engines: Iterable[tuple[str, schema.Engine]],
) -> list[str]:
    by_size: dict[int, str] = {}
    for name, engine in engines:
        by_size.setdefault(engine.memory_bytes, name)
    return [by_size[size] for size in sorted(by_size, reverse=True)]


def _gib(size: float) -> str:
    return f"{size / GIB:.1f} GiB"
