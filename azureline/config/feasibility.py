"""Decides whether a configuration's models fit its engines.

Every model must be resident with its least number of replicas, and some engine
must have a migration reserve: as much free memory as the largest model takes.
Any replica can then be loaded a second time before the first one is unloaded,
so an order of loads and unloads exists in which every model stays reachable
and no memory is overcommitted.

Packing is first-fit decreasing, which may miss a packing that exists.  The sums
that are checked first prove that none exists.
"""

from collections.abc import Iterable
from typing import NamedTuple

from azureline.config import schema

GIB = 2**30
MIGRATION_RESERVE = ""


class Infeasible(NamedTuple):
    """Falsy sentinel: the models do not fit.

    Attributes:
      reason: the limit that is exceeded, for operators.
    """

    reason: str

    def __bool__(self) -> bool:
        return False


class Packing(NamedTuple):
    """An assignment of the least number of replicas to engines.

    Attributes:
      models: names of the models on each engine, by engine name.
      free_bytes: memory for models that stays free on each engine, in bytes,
        including the migration reserve.
    """

    models: dict[str, tuple[str, ...]]
    free_bytes: dict[str, int]


class _Item(NamedTuple):
    """A replica to place, or the reserve, with the name `MIGRATION_RESERVE`."""

    model: str
    size: int


def usable_bytes(engine: schema.Engine, limits: schema.Limits) -> int:
    """Returns the memory of an engine that models may take, in bytes."""
    return int(engine.memory_bytes * (1 - limits.cache_reserve_ratio))


def pack(
    models: dict[str, schema.Model], capacities: dict[str, int]
) -> Packing | Infeasible:
    """Places each model's least number of replicas and the migration reserve.

    Args:
      models: the models by name.
      capacities: bytes that models may take on each engine, by name.

    Returns:
      A packing, or the reason why none exists or none was found.
    """
    if not models:
        return Packing({name: () for name in capacities}, dict(capacities))
    reason = _proof_of_infeasibility(models, capacities)
    if reason:
        return Infeasible(reason)
    items = _items(models)
    placed: dict[str, list[str]] = {name: [] for name in capacities}
    free = dict(capacities)
    for item in items:
        engine = _first_fit(item, placed, free)
        if engine is None:
            return Infeasible(_no_packing_message(item, free))
        placed[engine].append(item.model)
        free[engine] -= item.size
    return _packing(placed, free, items)


def loss_warnings(configuration: schema.Configuration) -> list[str]:
    """Returns a warning for each loss after which the models do not fit.

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
    warnings = []
    for label, lost in groups.items():
        capacities = capacities_of(configuration, without=lost)
        packing = pack(configuration.models, capacities)
        if isinstance(packing, Infeasible):
            warnings.append(f"without {label}: {packing.reason}")
    return warnings


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
    """Returns the reason for each adapter that fits no engine, by name.

    Adapters use the memory that is reserved from models.
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
    """Returns the replicas and the migration reserve, the largest first."""
    items = [
        _Item(MIGRATION_RESERVE, max(m.memory_bytes for m in models.values()))
    ]
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
    reserve = next(
        item.size for item in items if item.model == MIGRATION_RESERVE
    )
    models = {}
    for engine, names in placed.items():
        if MIGRATION_RESERVE in names:
            free[engine] += reserve
        models[engine] = tuple(
            name for name in names if name != MIGRATION_RESERVE
        )
    return Packing(models, free)


def _proof_of_infeasibility(
    models: dict[str, schema.Model], capacities: dict[str, int]
) -> str:
    """Returns why no packing exists, or "" if the sums do not rule one out."""
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
    return _sum_exceeded(models, capacities) or _large_replicas_exceeded(
        models, capacities
    )


def _sum_exceeded(
    models: dict[str, schema.Model], capacities: dict[str, int]
) -> str:
    items = _items(models)
    needed = sum(item.size for item in items)
    available = sum(capacities.values())
    if needed <= available:
        return ""
    reserve = max(model.memory_bytes for model in models.values())
    return (
        f"the least replicas of all models need {_gib(needed - reserve)}, and "
        f"room for moving the largest of them {_gib(reserve)}; together "
        f"{_gib(needed)}, more than the {_gib(available)} that the "
        f"{len(capacities)} engines have for models"
    )


def _large_replicas_exceeded(
    models: dict[str, schema.Model], capacities: dict[str, int]
) -> str:
    """Returns why no packing exists if too many replicas need half an engine.

    No engine can hold two replicas that each need more than half of the largest
    engine's capacity.
    """
    half = max(capacities.values()) / 2
    large = [item for item in _items(models) if item.size > half]
    if len(large) <= len(capacities):
        return ""
    return (
        f"{len(large)} replicas, room for moving counted as one, need more "
        f"than {_gib(half)} each, so that no engine holds two, but there are "
        f"{len(capacities)} engines"
    )


def _no_packing_message(item: _Item, free: dict[str, int]) -> str:
    label = f"model {item.model}" if item.model else "room for moving"
    return (
        f"no placement was found: {label} needs {_gib(item.size)} on one "
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
