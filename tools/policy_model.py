"""A queueing model of engines, driven by the real planning code.

The memory accounting, the load limits and the planner are those of the node.
An engine serves a fixed number of requests at once, the number at which the
token gap is 79 ms.  A request whose first token would be late is refused and
counts as missed, as in admission control.
"""

import heapq
import random
from typing import NamedTuple

from azureline.backends import interface
from azureline.fleet import engine_memory
from azureline.fleet import plan_types

SLOTS = 8
"""Concurrent requests of an engine at a token gap of 79 ms."""

FIRST_TOKEN_S = 1.1
"""Bound on the time to the first token, in seconds."""

PREFILL_S = 0.3
"""Time from the start of a request to its first token, in seconds."""

UNLOAD_S = 2.0
"""Duration of an unload in seconds."""

GB = 1_000_000_000
STORE_BYTES_PER_S = 1 * GB


class _Replica(NamedTuple):
    size: int
    state: str
    until: float


class ModelEngine:
    """An engine with model memory, controlled by orders, and request slots."""

    def __init__(self, name: str, domain: str, capacity: int):
        self.name = name
        self.domain = domain
        self.capacity = capacity
        self.alive = True
        self.draining = False
        self._incarnation = 0
        self._sequence = 0
        self.held: dict[tuple[str, str], _Replica] = {}
        self._slots = [0.0] * SLOTS
        self._delayed_report: interface.Report | None = None
        self.memory = engine_memory.EngineMemory(capacity, 0)

    def restart(self, now: float) -> None:
        """Restarts without models, as memory new incarnation."""
        self.alive = True
        self.draining = False
        self._incarnation += 1
        self._sequence = 0
        self.held = {}
        self._slots = [now] * SLOTS
        self._delayed_report = None

    def advance(self, now: float) -> None:
        """Completes the loads and unloads that end by now."""
        for key, held in list(self.held.items()):
            if held.until > now:
                continue
            if held.state == "loading":
                self.held[key] = held._replace(
                    state="ready", until=float("inf")
                )
            elif held.state == "unloading":
                del self.held[key]

    def obey(self, now: float, order: interface.Order, slowdown: float) -> None:
        """Starts a load or an unload.

        Args:
          now: virtual time in seconds.
          order: the order to execute.
          slowdown: factor on the load time; 0 makes the load instantaneous.
        """
        key = (order.target, order.version)
        if order.kind is interface.OrderKind.LOAD_MODEL:
            if key not in self.held:
                load_s = slowdown * order.bytes_needed / STORE_BYTES_PER_S
                self.held[key] = _Replica(
                    order.bytes_needed, "loading", now + load_s
                )
        elif key in self.held:
            self.held[key] = _Replica(
                self.held[key].size, "unloading", now + UNLOAD_S
            )

    @property
    def used(self) -> int:
        """Bytes in use."""
        return sum(held.size for held in self.held.values())

    def report(self, now: float, lag_s: float) -> None:
        """Passes the accounting the previous call's report, `lag_s` old."""
        if self._delayed_report is not None:
            self.memory.reported(now, self._delayed_report, now)
        self._delayed_report = self._make_report(lag_s)

    def report_now(self, now: float) -> None:
        """Passes a current report to the memory accounting."""
        self.memory.reported(now, self._make_report(0.0), now)

    def _make_report(self, age_s: float) -> interface.Report:
        self._sequence += 1
        models = tuple(
            interface.ResidentModel(name, version, held.size, held.state)
            for (name, version), held in self.held.items()
        )
        return interface.Report(
            self.name,
            str(self._incarnation),
            self._sequence,
            age_s,
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
        """Returns when a slot becomes free; in the past for an idle engine."""
        return self._slots[0]

    def serve(self, now: float, service_s: float) -> bool:
        """Accepts a request if its first token would be in time."""
        start = max(now, self._slots[0])
        if start - now + PREFILL_S > FIRST_TOKEN_S:
            return False
        heapq.heapreplace(self._slots, start + service_s)
        return True

    def as_layout(self, now: float) -> plan_types.Engine:
        """Returns the engine as the planner sees it."""
        report = self.memory.report
        replicas = tuple(
            plan_types.Replica(
                r.name,
                r.version,
                r.bytes_used,
                plan_types.State(r.state),
                self.memory.ready(r.name, r.version),
            )
            for r in (report.models if report else ())
        )
        return plan_types.Engine(
            self.name,
            self.domain,
            self.capacity,
            self.memory.free_bytes(now),
            replicas,
            draining=self.draining,
        )


class Site(NamedTuple):
    """Size and planning weights of a deployment.

    Attributes:
      name: name of the site.
      engines: number of model engines.
      accelerators: accelerators per engine.
      models: number of models.
      store_rate: loads per second that the weight store allows.
      at_once: concurrent loads that the weight store allows.
      attainment_weight: weight of attainment in the objective.
      move_weight: weight of the cost of moves in the objective.
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
"""Memory of an engine of two accelerators, without its cache reserve."""

_SIZES = (12, 14, 16, 20, 24, 28, 36)


def make_models(site: Site, rng: random.Random) -> list[plan_types.Model]:
    """Returns models of random sizes; larger models are slower."""
    models = []
    for index in range(site.models):
        size = rng.choice(_SIZES)
        rate = 2.0 * (22 / size) ** 0.5
        models.append(plan_types.Model(f"m{index:02}", "1", size * GB, 1, rate))
    return models


def make_engines(site: Site) -> list[ModelEngine]:
    """Returns empty engines, spread over three failure domains."""
    return [
        ModelEngine(f"e{index}", f"d{index % 3}", ENGINE_BYTES)
        for index in range(site.engines)
    ]
