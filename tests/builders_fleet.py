"""Builders of orders, reports and fake engines for tests of the fleet."""

from typing import NamedTuple

from azureline.backends import interface
from azureline.fleet import engine_memory
from azureline.fleet import plan_types

LOAD = interface.OrderKind.LOAD_MODEL
UNLOAD = interface.OrderKind.UNLOAD_MODEL


def order(order_id, kind, target, size, fence=1, expires_in_s=5.0, version="1"):
    return interface.Order(
        order_id, kind, target, version, fence, expires_in_s, size
    )


def resident(name, size, state="ready", version="1"):
    return interface.ResidentModel(name, version, size, state)


def report(models=(), sequence=1, incarnation="a", age_s=0.0, **changes):
    base = interface.Report(
        engine="e1",
        incarnation=incarnation,
        sequence=sequence,
        age_s=age_s,
        capacity_bytes=10,
        cache_bytes=0,
        models=tuple(models),
        adapters=(),
        running=0,
        queued=0,
        last_order_id="",
        fence=0,
        fences=False,
        draining=False,
    )
    return base._replace(**changes)


class Sent(NamedTuple):
    """A copy of an order in flight."""

    order: interface.Order
    sent_at: float


class FakeEngine:
    """Starts every order that has not expired, whatever memory is free."""

    def __init__(self, fences=False):
        self.fences = fences
        self.fence = 0
        self.models = {}
        self.incarnation = 0
        self.sequence = 0
        self._done = {}

    @property
    def used(self):
        return sum(size for size, _ in self.models.values())

    def restart(self):
        """Restarts without models and forgets the fence and the order ids."""
        self.models = {}
        self.fence = 0
        self.incarnation += 1
        self.sequence = 0
        self._done = {}

    def receive(self, sent, now):
        """Starts an order unless it is expired or fenced; returns a result."""
        expires_at = (
            sent.sent_at
            + engine_memory.ORDER_TRAVEL_MAX_S
            + sent.order.expires_in_s
        )
        if sent.order.order_id in self._done:
            return self._done[sent.order.order_id]
        if now > expires_at:
            return interface.OrderResult.REFUSED_EXPIRED
        if self.fences and sent.order.fence < self.fence:
            return interface.OrderResult.REFUSED_FENCE
        self.fence = max(self.fence, sent.order.fence)
        self._start(sent.order)
        self._done[sent.order.order_id] = interface.OrderResult.ACCEPTED
        return interface.OrderResult.ACCEPTED

    def _start(self, order_):
        name = order_.target
        if order_.kind is LOAD and name not in self.models:
            self.models[name] = (order_.bytes_needed, "loading")
        elif order_.kind is UNLOAD and name in self.models:
            self.models[name] = (self.models[name][0], "unloading")

    def finish(self, name):
        """Ends a load or an unload in progress."""
        size, state = self.models.get(name, (0, ""))
        if state == "unloading":
            del self.models[name]
        elif state == "loading":
            self.models[name] = (size, "ready")

    def snapshot(self):
        self.sequence += 1
        return report(
            [resident(n, s, state) for n, (s, state) in self.models.items()],
            sequence=self.sequence,
            incarnation=str(self.incarnation),
            fence=self.fence,
            fences=self.fences,
        )


class VersionedEngine(FakeEngine):
    """A fake engine that distinguishes the versions of a model."""

    @property
    def ready(self):
        return {
            key for key, (_, state) in self.models.items() if state == "ready"
        }

    def _start(self, order_):
        key = (order_.target, order_.version)
        if order_.kind is LOAD and key not in self.models:
            self.models[key] = (order_.bytes_needed, "loading")
        elif order_.kind is UNLOAD and key in self.models:
            self.models[key] = (self.models[key][0], "unloading")

    def finish_all(self):
        for key in list(self.models):
            self.finish(key)

    def snapshot(self):
        base = super().snapshot()
        return base._replace(
            models=tuple(
                resident(name, size, state, version)
                for (name, version), (size, state) in self.models.items()
            )
        )


def model(name, size, version="1", **changes):
    return plan_types.Model(name, version, size)._replace(**changes)


def engine(name, capacity, models, domain="d1", size=4):
    """Returns an engine that holds models of one size and version 1."""
    replicas = tuple(
        plan_types.Replica(m, "1", size, plan_types.State.READY) for m in models
    )
    free = capacity - size * len(models)
    return plan_types.Engine(name, domain, capacity, free, replicas)


def engine_of(name, domain, memory, now, draining=False):
    """Returns an engine as its memory accounting describes it."""
    replicas = tuple(
        plan_types.Replica(
            r.name,
            r.version,
            r.bytes_used,
            plan_types.State(r.state),
            memory.ready(r.name, r.version),
        )
        for r in memory.report.models
    )
    return plan_types.Engine(
        name, domain, 9, memory.free_bytes(now), replicas, draining=draining
    )


def order_of(order_id, move):
    kind = LOAD if move.kind is plan_types.MoveKind.LOAD else UNLOAD
    return order(order_id, kind, move.target, move.bytes, version=move.version)
