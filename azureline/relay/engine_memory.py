"""Memory accounting of one engine and the orders derived from it.

The accounting is part of the engine's controller.  An order without an answer
counts as both carried out and not carried out until the engine's own order
sequence shows which one it is.  Each order names the sequence at which it is
valid, so an order that arrives late finds another sequence and has no effect.
"""

from collections.abc import Collection
from collections.abc import Iterable
from typing import NamedTuple

from azureline.relay import orders
from azureline.relay import routes
from azureline.relay import servers

# An adapter that was loaded or reserved within this time is not evicted, since
# the request that needs it may be in transit.
_MIN_ADAPTER_STAY_S = 0.5
# Time from an accepted order until requests can use the adapter: transfers take
# up to 10 ms while few of them run at once.
ADAPTER_LOAD_S = 0.012
# A report describes a state up to this much older than its answer.
REPORT_LAG_S = 0.5


class Adapter(NamedTuple):
    """An adapter that an engine holds or loads.

    Attributes:
      model: the model that the adapter belongs to.
      name: name of the adapter.
    """

    model: str
    name: str


class _RunningOrder(NamedTuple):
    order: orders.Order
    expected_end: float  # Monotonic time in s.


class EngineMemory:
    """Accounts for the memory of one engine process.

    Attributes:
      born_ms: Unix time in milliseconds at which the engine started, or 0.
      sequence: number of orders that the engine has accepted; -1 before the
        first report.
    """

    def __init__(
        self,
        server: servers.BackendServer,
        kind: routes.EngineSpec,
        now: float,
    ):
        """Creates the accounting from an engine's entry in the store.

        The entry may be older than the last orders of an earlier lease holder,
        so no order is returned before a report.
        """
        self._kind = kind
        self.born_ms = server.born_ms
        # Unknown until the first report.
        self.sequence = -1
        self._models: list[str] = [r.name for r in server.models]
        self._adapter_used_at: dict[Adapter, float] = {
            Adapter(r.name, a): 0.0 for r in server.models for a in r.adapters
        }
        self._adapter_ready_at: dict[Adapter, float] = {}
        self._unloading: set[Adapter] = set()
        self._in_memory = server.in_memory
        self._on_disk = server.on_disk
        # Order that was sent and whose outcome is not known yet.
        self._open_order: orders.Order | None = None
        # Whether a copy of the open order had no answer and may still arrive.
        self._copy_in_transit = False
        # Accepted model order that is in progress.
        self._running: _RunningOrder | None = None
        self._sequence_unknown_since: float | None = now
        self._busy = False
        self._target: tuple[str, ...] = ()
        self._target_ready_at = now

    @property
    def open_order(self) -> orders.Order | None:
        """The order that was sent and whose outcome is unknown, if any."""
        return self._open_order

    @property
    def sequence_unknown(self) -> bool:
        """Whether the engine's sequence is unknown until a newer report."""
        return self._sequence_unknown_since is not None

    @property
    def models(self) -> tuple[str, ...]:
        """The models that the engine holds."""
        return tuple(self._models)

    @property
    def in_memory(self) -> tuple[str, ...]:
        """Models with a copy in the engine's host memory."""
        return self._in_memory

    @property
    def on_disk(self) -> tuple[str, ...]:
        """Models with a copy on the engine's disk."""
        return self._on_disk

    @property
    def busy(self) -> bool:
        """Whether a model order is, or may be, in progress."""
        sent_model_order = (
            self._open_order is not None and not self._open_order.adapter
        )
        return sent_model_order or self._running is not None or self._busy

    def set_kind(self, kind: routes.EngineSpec) -> None:
        """Sets the engine configuration."""
        self._kind = kind

    def set_target(self, models: tuple[str, ...], ready_at: float) -> None:
        """Sets the models that the engine should hold.

        Args:
          models: the models, highest priority first; models that the
            configuration does not list are ignored.
          ready_at: monotonic time in seconds at which the engine should hold
            them.
        """
        self._target = tuple(m for m in models if m in self._kind.models)
        self._target_ready_at = ready_at

    def usable_models(
        self, now: float
    ) -> tuple[tuple[str, tuple[str, ...]], ...]:
        """Returns (model, adapters) pairs that requests may use now."""
        unloading_model = self._unloading_model()
        return tuple(
            (
                model,
                tuple(
                    a.name
                    for a in self._adapter_used_at
                    if a.model == model
                    and a not in self._unloading
                    and self._adapter_ready_at.get(a, 0.0) <= now
                ),
            )
            for model in self._models
            if model != unloading_model
        )

    def loading(self, now: float) -> tuple[str, float]:
        """Returns the model being loaded and the seconds until it is loaded.

        The result is ("", 0.0) if no model is being loaded.
        """
        running = self._running
        if running is None or running.order.verb is not orders.Verb.LOAD:
            return "", 0.0
        return running.order.model, max(0.0, running.expected_end - now)

    def remaining_s(self, now: float) -> float:
        """Returns seconds until the model order in progress should end."""
        running = self._running
        return (
            max(0.0, running.expected_end - now) if running is not None else 0.0
        )

    def next_model(self, now: float) -> tuple[str, float]:
        """Returns the next model to be available and the seconds until then.

        This is the model being loaded, otherwise the first missing model of the
        target, even if its load cannot start yet; ("", 0.0) if there is none.
        """
        model, left = self.loading(now)
        if model:
            return model, left
        missing = [m for m in self._target if m not in self._models]
        if not missing:
            return "", 0.0
        left = max(self._target_ready_at - now, self.load_s(missing[0]))
        return missing[0], left

    def load_s(self, model: str) -> float:
        """Returns a model's load time in seconds from its fastest copy."""
        spec = self._kind.models[model]
        if model in self._in_memory:
            return spec.memory_s
        if model in self._on_disk:
            return spec.disk_s
        return spec.store_s

    def apply_report(
        self,
        sequence: int,
        models: Iterable[servers.Resident],
        busy: bool,
        as_of: float,
        now: float,
    ) -> bool:
        """Applies a report of the engine.

        Args:
          sequence: number of orders that the engine had accepted.
          models: the models that the engine held.
          busy: whether the engine was carrying out a model order.
          as_of: earliest monotonic time, in seconds, that the report may
            describe.
          now: monotonic time in seconds.

        Returns:
          Whether the report was applied; a report that may be outdated is
          ignored.
        """
        if self._sequence_unknown_since is not None:
            if as_of < self._sequence_unknown_since:
                return False
        elif sequence < self.sequence:
            return False
        self._sequence_unknown_since = None
        self.sequence = sequence
        self._busy = busy
        listed = list(models)
        self._resolve_open_order(now)
        if (
            self._running is not None
            and not busy
            and self._completed(self._running.order, listed)
        ):
            self._running = None
        self._replace_models(listed, now)
        return True

    def _resolve_open_order(self, now: float) -> None:
        """Resolves an order without an answer by the engine's sequence.

        While the engine is still at the sequence that the order names, a copy
        of the order may still arrive, so it remains the next order to send.
        """
        order = self._open_order
        if order is None or self.sequence <= order.expected:
            return
        self._open_order = None
        if not order.adapter:
            self._running = _RunningOrder(order, now)

    def apply_entry(
        self, models: Iterable[servers.Resident], now: float
    ) -> None:
        """Applies the models that the engine's store entry lists.

        Entries arrive in order but do not contain the order sequence, so they
        can only show that the model order in progress has ended.
        """
        listed = list(models)
        running = self._running
        if running is not None and self._completed(running.order, listed):
            self._running = None
            self._busy = False
            self._replace_models(listed, now)

    def set_copies(
        self, in_memory: tuple[str, ...], on_disk: tuple[str, ...]
    ) -> None:
        """Sets the models with copies in host memory and on disk."""
        self._in_memory, self._on_disk = in_memory, on_disk

    def needs_report(self, now: float) -> bool:
        """Returns whether a report of the engine is needed."""
        if self._sequence_unknown_since is not None:
            return self._sequence_unknown_since + REPORT_LAG_S < now
        if self._unloading and self._missing_models():
            return True
        if self._busy and self._running is None:
            return True
        running = self._running
        return running is not None and running.expected_end + REPORT_LAG_S < now

    def next_order(self) -> orders.Order | None:
        """Returns the next model order towards the target.

        Returns None if the target is reached, or if the engine can take no
        order now.
        """
        if self.sequence_unknown:
            return None
        if self._open_order is not None:
            # Repeating the same order is safe: it is accepted at most once.
            return self._open_order
        if self._busy or self._running is not None:
            return None
        missing = self._missing_models()
        # While an engine unloads an adapter, it rejects model orders until the
        # adapter's requests have ended.
        if not missing or self._unloading:
            return None
        if self._fits(missing[0]):
            return self._order(orders.Verb.LOAD, missing[0])
        extra = [m for m in self._models if m not in self._target]
        if extra:
            return self._order(orders.Verb.UNLOAD, extra[-1])
        return None

    def _missing_models(self) -> list[str]:
        return [m for m in self._target if m not in self._models]

    def adapter_ready(self, adapter: Adapter, now: float) -> float | None:
        """Returns seconds until an adapter can be used, and marks it as used.

        Returns None if the engine neither holds nor loads the adapter, or is
        unloading it or its model.
        """
        if adapter not in self._adapter_used_at or adapter in self._unloading:
            return None
        if adapter.model == self._unloading_model():
            return None
        self._adapter_used_at[adapter] = now
        return max(0.0, self._adapter_ready_at.get(adapter, 0.0) - now)

    def adapter_order(
        self,
        adapter: Adapter,
        now: float,
        in_use: Collection[tuple[str, str]] = (),
    ) -> orders.Order | None:
        """Returns the order that loads an adapter or frees memory for it.

        Args:
          adapter: the adapter.
          now: monotonic time in seconds.
          in_use: (model, adapter) pairs that running requests use.

        Returns:
          The order; None if no memory can be freed, if the engine does not hold
          the model, or if another order or a report has to come first.
        """
        if self._open_order is not None or self.busy:
            # Engines accept no other order during a model order.
            return None
        if self.sequence_unknown or adapter.model not in self._models:
            return None
        if adapter.model == self._unloading_model():
            return None
        if not self._adapter_fits(adapter):
            return self._eviction_order(now, in_use)
        return self._order(orders.Verb.LOAD, adapter.model, adapter.name)

    def record_sent(self, order: orders.Order) -> None:
        """Records an order before it is sent."""
        if order != self._open_order:
            self._copy_in_transit = False
        self._open_order = order

    def apply_outcome(
        self, order: orders.Order, outcome: orders.Outcome, now: float
    ) -> None:
        """Applies the outcome of the last order that was sent."""
        if self._open_order != order:
            return
        match outcome:
            case orders.Outcome.ACCEPTED:
                self._open_order = None
                self.sequence = order.expected + 1
                self._apply_accepted(order, now)
            case orders.Outcome.HOLDS:
                self._open_order = None
                self._apply_in_effect(order, now)
            case orders.Outcome.UNKNOWN:
                self._copy_in_transit = True
            case _:
                # The engine is busy or at another sequence.  An earlier copy of
                # the same order may have been accepted.
                self._sequence_unknown_since = now
                if not self._copy_in_transit:
                    self._open_order = None

    def _apply_accepted(self, order: orders.Order, now: float) -> None:
        if not order.adapter:
            loads = order.verb is orders.Verb.LOAD
            expected_end = now + (self.load_s(order.model) if loads else 0.0)
            self._running = _RunningOrder(order, expected_end)
            return
        adapter = Adapter(order.model, order.adapter)
        if order.verb is orders.Verb.LOAD:
            self._adapter_used_at[adapter] = now
            self._adapter_ready_at[adapter] = now + ADAPTER_LOAD_S
        else:
            # The engine unloads the adapter after its requests have ended; a
            # report shows when.
            self._unloading.add(adapter)

    def _apply_in_effect(self, order: orders.Order, now: float) -> None:
        adapter = Adapter(order.model, order.adapter)
        loaded = order.verb is orders.Verb.LOAD
        if order.adapter and loaded:
            self._adapter_used_at[adapter] = now
        elif order.adapter:
            # The engine unloads an adapter without requests at once and counts
            # the order in its sequence.  If it did not count it, the next order
            # is rejected as out of turn.
            self._remove_adapter(adapter)
            self.sequence = order.expected + 1
        else:
            self._sequence_unknown_since = now

    def _completed(
        self, order: orders.Order, listed: list[servers.Resident]
    ) -> bool:
        present = any(r.name == order.model for r in listed)
        return present is (order.verb is orders.Verb.LOAD)

    def _replace_models(
        self, listed: list[servers.Resident], now: float
    ) -> None:
        names = [r.name for r in listed]
        running = self._running
        if running is not None and running.order.verb is orders.Verb.LOAD:
            names = [n for n in names if n != running.order.model]
        self._models = names
        reported = {Adapter(r.name, a) for r in listed for a in r.adapters}
        for adapter in reported - set(self._adapter_used_at):
            self._adapter_used_at[adapter] = 0.0
        for adapter in set(self._adapter_used_at) - reported:
            # Reports lag, so an adapter loaded recently may not be listed yet.
            recent = now - self._adapter_ready_at.get(adapter, 0.0) < 2.0
            if adapter.model not in names or not recent:
                self._remove_adapter(adapter)

    def _remove_adapter(self, adapter: Adapter) -> None:
        self._adapter_used_at.pop(adapter, None)
        self._adapter_ready_at.pop(adapter, None)
        self._unloading.discard(adapter)

    def _unloading_model(self) -> str:
        """Returns the model that is, or may be, unloading, or ""."""
        for order in (self._open_order, self._running and self._running.order):
            if order is None or order.adapter:
                continue
            if order.verb is orders.Verb.UNLOAD:
                return order.model
        return ""

    def _used_mb(self) -> float:
        """Returns the largest memory that may be in use, in MB.

        An open or running order counts as if its model or adapter used memory.
        """
        held = set(self._models)
        adapters = set(self._adapter_used_at)
        for order in (self._open_order, self._running and self._running.order):
            if order is None:
                continue
            if order.adapter:
                adapters.add(Adapter(order.model, order.adapter))
            else:
                held.add(order.model)
        used = sum(self._model_mb(m) for m in held)
        return used + sum(self._adapter_mb(a) for a in adapters)

    def _model_mb(self, model: str) -> float:
        spec = self._kind.models.get(model)
        # A model that the configuration no longer lists still uses memory; its
        # size is unknown, so the largest size counts.
        return spec.size_mb if spec else self._largest_model_mb()

    def _largest_model_mb(self) -> float:
        return max((m.size_mb for m in self._kind.models.values()), default=0)

    def _adapter_mb(self, adapter: Adapter) -> float:
        spec = self._kind.models.get(adapter.model)
        return spec.adapter_mb if spec else 0.0

    def _fits(self, model: str) -> bool:
        spec = self._kind.models[model]
        adapters_mb = sum(self._adapter_mb(a) for a in self._adapter_used_at)
        free = self._kind.room_mb - self._used_mb() + adapters_mb
        return spec.size_mb <= free

    def _adapter_fits(self, adapter: Adapter) -> bool:
        if len(self._adapter_used_at) >= self._kind.adapter_places:
            return False
        after = self._used_mb() + self._adapter_mb(adapter)
        return after <= self._kind.memory_mb

    def _eviction_order(
        self, now: float, in_use: Collection[tuple[str, str]]
    ) -> orders.Order | None:
        """Returns the order that unloads the least recently used idle adapter.

        An adapter in use is never chosen: the engine unloads it only after its
        requests have ended, and accepts no model order until then.
        """
        idle = [
            (used, a)
            for a, used in self._adapter_used_at.items()
            if used + _MIN_ADAPTER_STAY_S <= now
            and a not in self._unloading
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
