"""What one engine holds and may be ordered to hold.

The book is kept by the engine's holder.  It counts an order without an answer
as carried out and as not carried out at once, until the engine's own sequence
settles it: orders name the sequence they hold for, so an order that comes late
finds another sequence and does nothing.
"""

from collections.abc import Collection
from collections.abc import Iterable
from typing import NamedTuple

from azureline.relay import orders
from azureline.relay import routes
from azureline.relay import servers

# An adapter that was loaded or granted this recently stays: the request for it
# may be on its way.
_GRANT_S = 0.5
# From an accepted order until requests can use an adapter: transfers take up
# to 10 ms while few are on their way.
ADAPTER_S = 0.012
# Reports are up to this much older than their answer.
REPORT_LAG_S = 0.5


class Adapter(NamedTuple):
    """An adapter that an engine holds or gets.

    Attributes:
      model: the model.
      name: the adapter.
    """

    model: str
    name: str


class _Work(NamedTuple):
    order: orders.Order
    due_at: float  # When it should have ended.


class EngineBook:
    """The memory of one start of an engine."""

    def __init__(
        self,
        server: servers.BackendServer,
        kind: routes.EngineKind,
        now: float,
    ):
        """Creates a book from an engine's entry.

        The entry may be older than what an earlier holder has ordered, so
        orders wait for a report.
        """
        self._kind = kind
        self.born_ms = server.born_ms
        # Known from the first report on.
        self.sequence = -1
        self._models: list[str] = [r.name for r in server.models]
        self._adapters: dict[Adapter, float] = {
            Adapter(r.name, a): 0.0 for r in server.models for a in r.adapters
        }
        self._ready_at: dict[Adapter, float] = {}
        self._leaving: set[Adapter] = set()
        self._in_memory = server.in_memory
        self._on_disk = server.on_disk
        # Sent, and not known whether accepted.
        self._open: orders.Order | None = None
        # Whether a copy of it had no answer, and may still come.
        self._astray = False
        # Accepted, about a model, and under way.
        self._work: _Work | None = None
        self._doubt_since: float | None = now
        self._busy = False
        self._target: tuple[str, ...] = ()
        self._target_at = now

    @property
    def open_order(self) -> orders.Order | None:
        """The order that was sent and may or may not have been accepted."""
        return self._open

    @property
    def doubtful(self) -> bool:
        """Whether only a report of the engine can tell its sequence."""
        return self._doubt_since is not None

    @property
    def models(self) -> tuple[str, ...]:
        """The models that it holds."""
        return tuple(self._models)

    @property
    def in_memory(self) -> tuple[str, ...]:
        """Models of which its host memory has copies."""
        return self._in_memory

    @property
    def on_disk(self) -> tuple[str, ...]:
        """Models of which its disk has copies."""
        return self._on_disk

    @property
    def busy(self) -> bool:
        """Whether an order about a model is or may be under way."""
        opened = self._open is not None and not self._open.adapter
        return opened or self._work is not None or self._busy

    def set_kind(self, kind: routes.EngineKind) -> None:
        """Takes what a newer configuration says of engines."""
        self._kind = kind

    def set_target(self, models: tuple[str, ...], ready_at: float) -> None:
        """Takes the models that the engine shall hold.

        Args:
          models: the models, the most wanted first.
          ready_at: monotonic time at which it should hold them.
        """
        self._target = tuple(m for m in models if m in self._kind.models)
        self._target_at = ready_at

    def usable(self, now: float) -> tuple[tuple[str, tuple[str, ...]], ...]:
        """Returns (model, adapters) that requests may use."""
        going = self._going_model()
        return tuple(
            (
                model,
                tuple(
                    a.name
                    for a in self._adapters
                    if a.model == model
                    and a not in self._leaving
                    and self._ready_at.get(a, 0.0) <= now
                ),
            )
            for model in self._models
            if model != going
        )

    def coming(self, now: float) -> tuple[str, float]:
        """Returns the model that is being loaded and seconds until then."""
        work = self._work
        if work is None or work.order.verb is not orders.Verb.LOAD:
            return "", 0.0
        return work.order.model, max(0.0, work.due_at - now)

    def free_s(self, now: float) -> float:
        """Returns seconds until the work under way should have ended."""
        work = self._work
        return max(0.0, work.due_at - now) if work is not None else 0.0

    def upcoming(self, now: float) -> tuple[str, float]:
        """Returns the next model to be there, also if its load has to wait."""
        model, left = self.coming(now)
        if model:
            return model, left
        wanted = [m for m in self._target if m not in self._models]
        if not wanted:
            return "", 0.0
        left = max(self._target_at - now, self.load_s(wanted[0]))
        return wanted[0], left

    def load_s(self, model: str) -> float:
        """Returns the seconds that a load takes with the copies at hand."""
        spec = self._kind.models[model]
        if model in self._in_memory:
            return spec.memory_s
        if model in self._on_disk:
            return spec.disk_s
        return spec.store_s

    def settle(
        self,
        sequence: int,
        models: Iterable[servers.Resident],
        busy: bool,
        as_of: float,
        now: float,
    ) -> bool:
        """Takes what the engine itself says it holds.

        Args:
          sequence: orders that it had accepted.
          models: what it held then.
          busy: whether it carried out an order about a model then.
          as_of: monotonic time before which this may have been so.
          now: monotonic time in seconds.

        Returns:
          Whether it was taken.
        """
        if self._doubt_since is not None:
            if as_of < self._doubt_since:
                return False
        elif sequence < self.sequence:
            return False
        self._doubt_since = None
        self.sequence = sequence
        self._busy = busy
        listed = list(models)
        self._settle_open(now)
        if (
            self._work is not None
            and not busy
            and self._done(self._work.order, listed)
        ):
            self._work = None
        self._take_models(listed, now)
        return True

    def _settle_open(self, now: float) -> None:
        """Judges an order without an answer by the engine's sequence.

        While the sequence is the one that it names, it may still come, and
        stays the next order to be sent.
        """
        order = self._open
        if order is None or self.sequence <= order.expected:
            return
        self._open = None
        if not order.adapter:
            self._work = _Work(order, now)

    def observe(self, models: Iterable[servers.Resident], now: float) -> None:
        """Takes what an entry in the store lists.

        Entries come in order and tell what has changed, but not which orders
        they know of, so they can only end work that is under way.
        """
        listed = list(models)
        work = self._work
        if work is not None and self._done(work.order, listed):
            self._work = None
            self._busy = False
            self._take_models(listed, now)

    def copies(
        self, in_memory: tuple[str, ...], on_disk: tuple[str, ...]
    ) -> None:
        """Takes the copies of weights that the engine has at hand."""
        self._in_memory, self._on_disk = in_memory, on_disk

    def overdue(self, now: float) -> bool:
        """Returns whether a report should be asked for."""
        if self._doubt_since is not None:
            return self._doubt_since + REPORT_LAG_S < now
        if self._leaving and self._missing():
            return True
        if self._busy and self._work is None:
            return True
        work = self._work
        return work is not None and work.due_at + REPORT_LAG_S < now

    def next_order(self) -> orders.Order | None:
        """Returns the order that brings the engine nearer to its target."""
        if self._open is not None:
            # The same order again: it is accepted once at most.
            return self._open
        if self.doubtful or self._busy or self._work is not None:
            return None
        missing = self._missing()
        # Engines take no order about a model until the requests of an adapter
        # that they unload have ended.
        if not missing or self._leaving:
            return None
        if self._fits(missing[0]):
            return self._order(orders.Verb.LOAD, missing[0])
        extra = [m for m in self._models if m not in self._target]
        if extra:
            return self._order(orders.Verb.UNLOAD, extra[-1])
        return None

    def _missing(self) -> list[str]:
        return [m for m in self._target if m not in self._models]

    def adapter_ready(self, adapter: Adapter, now: float) -> float | None:
        """Returns seconds until an adapter can be used, and marks its use.

        None if the engine neither holds nor gets it.
        """
        if adapter not in self._adapters or adapter in self._leaving:
            return None
        if adapter.model == self._going_model():
            return None
        self._adapters[adapter] = now
        return max(0.0, self._ready_at.get(adapter, 0.0) - now)

    def adapter_order(
        self,
        adapter: Adapter,
        now: float,
        in_use: Collection[tuple[str, str]] = (),
    ) -> orders.Order | None:
        """Returns the order that gets an adapter or makes room for it.

        Args:
          adapter: the adapter.
          now: monotonic time in seconds.
          in_use: (model, adapter) that running requests use.

        Returns:
          The order; None if there is no room, or it must wait for another.
        """
        if self._open is not None or self.busy:
            # Engines take no order beside one about a model.
            return None
        if self.doubtful or adapter.model not in self._models:
            return None
        if adapter.model == self._going_model():
            return None
        if not self._adapter_fits(adapter):
            return self._eviction(now, in_use)
        return self._order(orders.Verb.LOAD, adapter.model, adapter.name)

    def sent(self, order: orders.Order) -> None:
        """Notes an order before it is sent."""
        if order != self._open:
            self._astray = False
        self._open = order

    def answered(
        self, order: orders.Order, outcome: orders.Outcome, now: float
    ) -> None:
        """Takes an engine's answer to the order that was sent last."""
        if self._open != order:
            return
        match outcome:
            case orders.Outcome.ACCEPTED:
                self._open = None
                self.sequence = order.expected + 1
                self._accept(order, now)
            case orders.Outcome.HOLDS:
                self._open = None
                self._hold(order, now)
            case orders.Outcome.UNKNOWN:
                self._astray = True
            case _:
                # The sequence is another one, or the engine is busy.  An
                # earlier copy of the same order may have been accepted.
                self._doubt_since = now
                if not self._astray:
                    self._open = None

    def _accept(self, order: orders.Order, now: float) -> None:
        if not order.adapter:
            loads = order.verb is orders.Verb.LOAD
            due_at = now + (self.load_s(order.model) if loads else 0.0)
            self._work = _Work(order, due_at)
            return
        adapter = Adapter(order.model, order.adapter)
        if order.verb is orders.Verb.LOAD:
            self._adapters[adapter] = now
            self._ready_at[adapter] = now + ADAPTER_S
        else:
            # It goes when its requests have ended; a report tells.
            self._leaving.add(adapter)

    def _hold(self, order: orders.Order, now: float) -> None:
        adapter = Adapter(order.model, order.adapter)
        loaded = order.verb is orders.Verb.LOAD
        if order.adapter and loaded:
            self._adapters[adapter] = now
        elif order.adapter:
            # An adapter without requests goes at once, and that is an order
            # like others; if not, the next order is out of turn.
            self._drop_adapter(adapter)
            self.sequence = order.expected + 1
        else:
            self._doubt_since = now

    def _done(
        self, order: orders.Order, listed: list[servers.Resident]
    ) -> bool:
        present = any(r.name == order.model for r in listed)
        return present is (order.verb is orders.Verb.LOAD)

    def _take_models(self, listed: list[servers.Resident], now: float) -> None:
        names = [r.name for r in listed]
        work = self._work
        if work is not None and work.order.verb is orders.Verb.LOAD:
            names = [n for n in names if n != work.order.model]
        self._models = names
        reported = {Adapter(r.name, a) for r in listed for a in r.adapters}
        for adapter in reported - set(self._adapters):
            self._adapters[adapter] = 0.0
        for adapter in set(self._adapters) - reported:
            # Reports are late: one just loaded may not be listed yet.
            fresh = now - self._ready_at.get(adapter, 0.0) < 2.0
            if adapter.model not in names or not fresh:
                self._drop_adapter(adapter)

    def _drop_adapter(self, adapter: Adapter) -> None:
        self._adapters.pop(adapter, None)
        self._ready_at.pop(adapter, None)
        self._leaving.discard(adapter)

    def _going_model(self) -> str:
        """Returns the model that may be on its way out, or ""."""
        for order in (self._open, self._work and self._work.order):
            if order is None or order.adapter:
                continue
            if order.verb is orders.Verb.UNLOAD:
                return order.model
        return ""

    def _used_mb(self) -> float:
        """Returns the memory that may be taken, in MB."""
        held = set(self._models)
        places = set(self._adapters)
        for order in (self._open, self._work and self._work.order):
            if order is None:
                continue
            if order.adapter:
                places.add(Adapter(order.model, order.adapter))
            else:
                held.add(order.model)
        used = sum(self._size(m) for m in held)
        return used + sum(self._adapter_mb(a) for a in places)

    def _size(self, model: str) -> float:
        spec = self._kind.models.get(model)
        # A model that the configuration dropped still takes its memory.
        return spec.size_mb if spec else self._largest()

    def _largest(self) -> float:
        return max((m.size_mb for m in self._kind.models.values()), default=0)

    def _adapter_mb(self, adapter: Adapter) -> float:
        spec = self._kind.models.get(adapter.model)
        return spec.adapter_mb if spec else 0.0

    def _fits(self, model: str) -> bool:
        spec = self._kind.models[model]
        held = sum(self._adapter_mb(a) for a in self._adapters)
        free = self._kind.room_mb - self._used_mb() + held
        return spec.size_mb <= free

    def _adapter_fits(self, adapter: Adapter) -> bool:
        if len(self._adapters) >= self._kind.adapter_places:
            return False
        after = self._used_mb() + self._adapter_mb(adapter)
        return after <= self._kind.memory_mb

    def _eviction(
        self, now: float, in_use: Collection[tuple[str, str]]
    ) -> orders.Order | None:
        """Returns the order that drops the adapter used longest ago.

        One in use would go only when its requests have ended, and until then
        its engine takes no order about a model.
        """
        idle = [
            (used, a)
            for a, used in self._adapters.items()
            if used + _GRANT_S <= now
            and a not in self._leaving
            and a not in in_use
        ]
        if not idle:
            return None
        _, adapter = min(idle)
        return self._order(orders.Verb.UNLOAD, adapter.model, adapter.name)

    def _order(
        self, verb: orders.Verb, model: str, adapter: str = ""
    ) -> orders.Order:
        return orders.Order(verb, model, adapter, self.sequence)
