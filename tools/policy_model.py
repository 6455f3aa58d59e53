"""A queueing model of engines behind the real books, limits and planner.

An engine serves a fixed number of requests at once, which is the number at
which 79 ms pass between tokens; a request that would wait too long for its
first token is refused and counts as missed, as the admission does it.
"""

import heapq
import random
from typing import NamedTuple

from azureline.backends import interface
from azureline.fleet import book
from azureline.fleet import layout

SLOTS = 8
"""Requests that an engine generates at once at 79 ms between tokens."""

FIRST_TOKEN_S = 1.1
"""Bound on the time to the first token."""

PREFILL_S = 0.3
"""Time from the start of a request to its first token."""

UNLOAD_S = 2.0
"""Time in seconds that an unload takes."""

GB = 1_000_000_000
STORE_BYTES_PER_S = 1 * GB


class _Held(NamedTuple):
    size: int
    state: str
    until: float


class ModelEngine:
    """An engine with memory that follows orders and slots for requests."""

    def __init__(self, name: str, domain: str, capacity: int):
        self.name = name
        self.domain = domain
        self.capacity = capacity
        self.alive = True
        self.draining = False
        self._incarnation = 0
        self._sequence = 0
        self.held: dict[tuple[str, str], _Held] = {}
        self._slots = [0.0] * SLOTS
        self._lagging: interface.Report | None = None
        self.book = book.Book(capacity, 0)

    def restart(self, now: float) -> None:
        """Comes back empty, with a book that knows it."""
        self.alive = True
        self.draining = False
        self._incarnation += 1
        self._sequence = 0
        self.held = {}
        self._slots = [now] * SLOTS
        self._lagging = None

    def advance(self, now: float) -> None:
        """Ends the loads and unloads that are due."""
        for key, held in list(self.held.items()):
            if held.until > now:
                continue
            if held.state == "loading":
                self.held[key] = held._replace(
                    state="ready", until=float("inf")
                )
            elif held.state == "unloading":
                del self.held[key]

    def obey(self, now: float, order: interface.Order, slow: float) -> None:
        """Starts a load or an unload."""
        key = (order.target, order.version)
        if order.kind is interface.OrderKind.LOAD_MODEL:
            if key not in self.held:
                lasts = slow * order.bytes_needed / STORE_BYTES_PER_S
                self.held[key] = _Held(
                    order.bytes_needed, "loading", now + lasts
                )
        elif key in self.held:
            self.held[key] = _Held(
                self.held[key].size, "unloading", now + UNLOAD_S
            )

    @property
    def used(self) -> int:
        """Bytes in use."""
        return sum(held.size for held in self.held.values())

    def report(self, now: float, lag: float) -> None:
        """Gives the book the report of the former call, `lag` seconds old."""
        if self._lagging is not None:
            self.book.reported(now, self._lagging, now)
        self._lagging = self._snapshot(lag)

    def report_now(self, now: float) -> None:
        """Gives the book a report without a lag."""
        self.book.reported(now, self._snapshot(0.0), now)

    def _snapshot(self, age: float) -> interface.Report:
        self._sequence += 1
        models = tuple(
            interface.ResidentModel(name, version, held.size, held.state)
            for (name, version), held in self.held.items()
        )
        return interface.Report(
            self.name,
            str(self._incarnation),
            self._sequence,
            age,
            self.capacity,
            0,
            models,
            (),
            0,
            0,
            "",
            0,
            False,
            self.draining,
        )

    def free_at(self) -> float:
        """Returns when a slot is free; long ago for an idle engine."""
        return self._slots[0]

    def serve(self, now: float, lasts: float) -> bool:
        """Takes a request if its first token would be in time."""
        start = max(now, self._slots[0])
        if start - now + PREFILL_S > FIRST_TOKEN_S:
            return False
        heapq.heapreplace(self._slots, start + lasts)
        return True

    def as_layout(self, now: float) -> layout.Engine:
        """Returns the engine as the planner sees it."""
        report = self.book.report
        replicas = tuple(
            layout.Replica(
                r.name,
                r.version,
                r.bytes_used,
                layout.State(r.state),
                self.book.ready(r.name, r.version),
            )
            for r in (report.models if report else ())
        )
        return layout.Engine(
            self.name,
            self.domain,
            self.capacity,
            self.book.free_bytes(now),
            replicas,
            draining=self.draining,
        )


class Site(NamedTuple):
    """A deployment's size and weights.

    Attributes:
      name: name of the site.
      engines: number of model engines.
      accelerators: accelerators of one engine.
      models: number of models.
      store_rate: loads a second.
      at_once: loads at once.
      attainment_weight: weight of attainment.
      move_weight: weight of a move.
    """

    name: str
    engines: int
    accelerators: int
    models: int
    store_rate: float
    at_once: int
    attainment_weight: float
    move_weight: float


SITES = (
    Site("tuul", 6, 2, 20, 1.5, 5, 0.8, 0.2),
    Site("igla", 5, 2, 20, 1.0, 4, 0.3, 0.7),
)

ENGINE_BYTES = 120 * GB
"""Memory of an engine of two accelerators beside its cache reserve."""

_SIZES = (12, 14, 16, 20, 24, 28, 36)


def make_models(site: Site, rng: random.Random) -> list[layout.Model]:
    """Returns models of various sizes; larger ones are slower."""
    models = []
    for at in range(site.models):
        size = rng.choice(_SIZES)
        rate = 2.0 * (22 / size) ** 0.5
        models.append(layout.Model(f"m{at:02}", "1", size * GB, 1, rate))
    return models


def make_engines(site: Site) -> list[ModelEngine]:
    """Returns empty engines over three failure domains."""
    return [
        ModelEngine(f"e{at}", f"d{at % 3}", ENGINE_BYTES)
        for at in range(site.engines)
    ]
