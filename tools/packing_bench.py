"""Counts feasible configurations that the configuration check refuses.

Run `python -m tools.packing_bench`.  Random sites of 3 to 6 equal engines and 8
to 20 models of 4 to 24 GiB are checked by `feasibility.pack` and by exhaustive
search.  It prints one row per load: the percentage of the engines' memory that
the models and the free memory reserved for moves take together.
"""

import functools
import random

from azureline.config import feasibility
from azureline.config import schema

HEADER = "load_percent sites fitting refused_though_fitting"
LOADS_PERCENT = (80, 85, 90, 95)
SITES = 400
SEED = 1
_ENGINE_GIB = 40
_TOLERANCE_PERCENT = 2


def fits(sizes: tuple[int, ...], capacities: tuple[int, ...]) -> bool:
    """Returns whether any packing exists, by exhaustive search."""
    items = sorted(sizes, reverse=True)

    @functools.cache
    def search(index: int, free: tuple[int, ...]) -> bool:
        if index == len(items):
            return True
        size = items[index]
        for free_memory in set(free):
            if free_memory < size:
                continue
            free_after = list(free)
            free_after.remove(free_memory)
            if search(
                index + 1, tuple(sorted([*free_after, free_memory - size]))
            ):
                return True
        return False

    return search(0, tuple(sorted(capacities)))


def measure(load_percent: int) -> tuple[int, ...]:
    """Returns the columns of `HEADER` for one load."""
    rng = random.Random(SEED * 1000 + load_percent)
    sites = fitting = refused = 0
    while sites < SITES:
        engines = rng.randint(3, 6)
        sizes = [rng.randint(4, 24) for _ in range(rng.randint(8, 20))]
        needed = sum(sizes) + max(sizes)
        actual_percent = 100 * needed / (engines * _ENGINE_GIB)
        if abs(actual_percent - load_percent) > _TOLERANCE_PERCENT:
            continue
        sites += 1
        if not fits((*sizes, max(sizes)), (_ENGINE_GIB,) * engines):
            continue
        fitting += 1
        refused += not _is_accepted(sizes, engines)
    return load_percent, sites, fitting, refused


def _is_accepted(sizes: list[int], engines: int) -> bool:
    models = {
        f"model-{i}": schema.Model(size, "1", 1, 1.0, 1.0, 1)
        for i, size in enumerate(sizes)
    }
    capacities = {f"engine-{i}": _ENGINE_GIB for i in range(engines)}
    packing = feasibility.pack(models, capacities)
    return isinstance(packing, feasibility.Packing)


def main() -> None:
    """Prints the rows of all loads."""
    print(HEADER)
    for load_percent in LOADS_PERCENT:
        print(*measure(load_percent))


if __name__ == "__main__":
    main()
