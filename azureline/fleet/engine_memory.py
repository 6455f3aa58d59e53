"""Memory accounting of one engine, kept by the owner of its slot.

The accounting is an upper bound of the memory that the engine holds now or
may come to hold through orders in flight.  It relies on two facts that need
no synchronized clocks:

* A report that answers a poll was taken no earlier than the time of the poll
  minus the age that the report states.
* An engine cannot start an order later than the time of its reservation plus
  the longest travel time, the order's expiry and a margin for clock drift.

A report therefore settles exactly those orders whose latest start lies before
the earliest time at which the report can have been taken.  Answers settle
nothing: a second copy of the order may still be in flight to an engine that
has restarted and remembers neither the order nor the highest fence.
"""

from collections.abc import Mapping
import enum
from typing import NamedTuple

from azureline.backends import interface

ORDER_TRAVEL_MAX_S = 5.0
"""Longest time between the lease check and the engine reading the order.

The order channel enforces it: the engine closes a channel that has been
silent for this long, so an order that an owner writes after its process was
frozen meets a closed connection.
"""

ORDER_EXPIRY_MAX_S = 5.0
"""Longest `Order.expires_in_s` that an owner may set."""

REPORT_TRAVEL_MAX_S = 5.0
"""Longest travel time of a report that does not answer a poll."""

CLOCK_MARGIN_S = 1.0
"""Allowance for the drift between two monotonic clocks during one order."""

_LOADS = (interface.OrderKind.LOAD_MODEL, interface.OrderKind.LOAD_ADAPTER)
_UNLOADS = (
    interface.OrderKind.UNLOAD_MODEL,
    interface.OrderKind.UNLOAD_ADAPTER,
)
_ADAPTERS = (
    interface.OrderKind.LOAD_ADAPTER,
    interface.OrderKind.UNLOAD_ADAPTER,
)


class RefusalReason(enum.Enum):
    """Why an order must not be sent."""

    UNSETTLED = "unsettled"
    NO_ROOM = "no_room"
    DUPLICATE = "duplicate"
    EXPIRY_TOO_LONG = "expiry_too_long"


class OrderRefused(NamedTuple):
    """A falsy result of `EngineMemory.reserve` for a forbidden order.

    Attributes:
      reason: the rule that forbids the order.
      detail: a human-readable explanation.
    """

    reason: RefusalReason
    detail: str

    def __bool__(self) -> bool:
        return False

    @property
    def counter(self) -> str:
        """The name of the counter for this reason."""
        return f"book.refused.{self.reason.value}"


class MemoryItem(NamedTuple):
    """A model or adapter that can occupy an engine's memory.

    Attributes:
      adapter: True for an adapter, False for a model.
      name: name of the model or adapter.
      version: version of the model or adapter.
    """

    adapter: bool
    name: str
    version: str


class OpenOrder(NamedTuple):
    """An order whose outcome no report has settled.

    Attributes:
      order: the order as sent.
      latest_start: time in seconds after which the engine can no longer start
        the order.
      result: the engine's answer, UNKNOWN while there is none.
    """

    order: interface.Order
    latest_start: float
    result: interface.OrderResult


def item_of(order: interface.Order) -> MemoryItem:
    """Returns the item that a load or unload order concerns."""
    return MemoryItem(order.kind in _ADAPTERS, order.target, order.version)


def latest_start(now: float, expires_in_s: float) -> float:
    """Returns the last time at which an order reserved at `now` can start."""
    return now + ORDER_TRAVEL_MAX_S + expires_in_s + CLOCK_MARGIN_S


def takeover_settles_at(taken_over_at: float, lease_s: float) -> float:
    """Returns the time after which no former owner's order can start.

    Args:
      taken_over_at: time in seconds at which this owner gained the slot.
      lease_s: duration in seconds of the former owner's lease, including its
        safety margin.  The full duration counts, as the former owner may have
        renewed the lease just before the takeover.

    Returns:
      A time in seconds on the clock of `taken_over_at`.
    """
    return latest_start(taken_over_at + lease_s, ORDER_EXPIRY_MAX_S)


class EngineMemory:
    """Bounds the memory that one engine holds or may come to hold."""

    def __init__(
        self,
        capacity: int,
        cache_reserve: int,
        unsettled_until: float = 0.0,
        sizes: Mapping[str, int] | None = None,
    ):
        """Creates an accounting that counts the whole memory as in use.

        Args:
          capacity: accelerator memory of the engine in bytes.
          cache_reserve: bytes of the capacity set aside for the KV cache.
          unsettled_until: time in seconds before which orders of a former
            owner may start; see `takeover_settles_at`.
          sizes: configured bytes by name of the model or adapter; a load in
            progress counts at least this much, even if the report states less.
        """
        self._capacity = capacity
        self._reserve = cache_reserve
        # A report that may have been taken before this time is not accepted.
        self._accept_taken_from = unsettled_until
        self._sizes = sizes or {}
        self._report: interface.Report | None = None
        self._newest_report: interface.Report | None = None
        self._latest_taken = 0.0
        # Incarnations of the engine before the one of the accepted report.
        self._superseded: set[str] = set()
        # True until a report is accepted, and again while a report that could
        # not be accepted shows a new incarnation of the engine.
        self._report_outdated = True
        self._open: dict[str, OpenOrder] = {}
        self._used_ids: dict[str, float] = {}

    @property
    def settled(self) -> bool:
        """Whether the accounting is based on a report."""
        return self._report is not None

    @property
    def open_orders(self) -> tuple[OpenOrder, ...]:
        """The orders whose outcome no report has settled."""
        return tuple(self._open.values())

    @property
    def report(self) -> interface.Report | None:
        """The report that the accounting is based on, or None."""
        return self._report

    def reserve(
        self, now: float, order: interface.Order
    ) -> interface.Order | OrderRefused:
        """Counts an order as sent, or refuses it.

        Args:
          now: time in seconds at which the owner's lease was checked.
          order: the order; unloads and role changes need no free memory.

        Returns:
          The order, which must be sent at once or not at all, or the reason
          why it must not be sent.
        """
        if order.order_id in self._used_ids:
            return OrderRefused(
                RefusalReason.DUPLICATE,
                f"order {order.order_id} was already sent",
            )
        if order.expires_in_s > ORDER_EXPIRY_MAX_S:
            return OrderRefused(
                RefusalReason.EXPIRY_TOO_LONG,
                f"order expires in {order.expires_in_s} s, "
                f"the limit is {ORDER_EXPIRY_MAX_S} s",
            )
        if order.kind in _LOADS:
            refused = self._check_load(order)
            if refused is not None:
                return refused
        start_deadline = latest_start(now, order.expires_in_s)
        self._open[order.order_id] = OpenOrder(
            order, start_deadline, interface.OrderResult.UNKNOWN
        )
        self._used_ids[order.order_id] = start_deadline
        return order

    def answered(
        self, now: float, order_id: str, result: interface.OrderResult
    ) -> None:
        """Records the engine's answer, which frees no memory by itself.

        Args:
          now: time in seconds at which the answer arrived.
          order_id: id of the order; an order already settled is ignored.
          result: the engine's answer.
        """
        entry = self._open.get(order_id)
        if entry is not None:
            self._open[order_id] = entry._replace(result=result)

    def reported(
        self,
        now: float,
        report: interface.Report,
        polled_at: float | None = None,
    ) -> bool:
        """Bases the accounting on a report if it is newer than the last one.

        Args:
          now: time in seconds at which the report arrived.
          report: the engine's report, which lags by its stated age.
          polled_at: time in seconds at which the poll was sent that the report
            answers; None if the engine sent the report without a poll.

        Returns:
          Whether the accounting is now based on this report.
        """
        earliest_taken = self._earliest_taken(now, report, polled_at)
        if report.incarnation in self._superseded or self._is_repeat(report):
            return False
        if self._is_restart(report) and earliest_taken < self._latest_taken:
            self._report_outdated = True
            return False
        self._newest_report = report
        if earliest_taken < self._accept_taken_from:
            return False
        self._accept(report, earliest_taken, now - report.age_s)
        return True

    def committed_bytes(self, now: float) -> int:
        """Returns the most bytes that the engine may hold or come to hold.

        Args:
          now: time in seconds; unused, as only a report lowers the bound, not
            the passing of time.  It is there for symmetry with the other
            methods.
        """
        if self._report is None:
            return self._capacity
        items = self._resident_bytes()
        for entry in self._open.values():
            if entry.order.kind in _LOADS:
                item = item_of(entry.order)
                size = entry.order.bytes_needed
                items[item] = max(items.get(item, 0), size)
        cache = max(self._reserve, self._report.cache_bytes)
        return sum(items.values()) + cache

    def free_bytes(self, now: float) -> int:
        """Returns the bytes available for another load; never negative."""
        return max(0, self._capacity - self.committed_bytes(now))

    def holds(self, item: MemoryItem) -> bool:
        """Returns whether the engine may hold the item or come to hold it."""
        if item in self._resident_bytes():
            return True
        return self._has_open(item, _LOADS)

    def ready(self, model: str, version: str = "") -> bool:
        """Returns whether a model is ready and no order can still unload it.

        Decisions that protect the last replica of a model count only replicas
        for which this is true.

        Args:
          model: name of the model.
          version: version of the model; "" accepts any.
        """
        if self._report is None or self._report_outdated:
            return False
        return self.reported_ready(model, version)

    def reported_ready(self, model: str, version: str = "") -> bool:
        """Returns whether the newest report shows a model as ready.

        Unlike `ready` this also answers while the accounting is not settled,
        when an unload ordered by a former owner may still be in flight.

        Args:
          model: name of the model.
          version: version of the model; "" accepts any.
        """
        if self._newest_report is None:
            return False
        return any(
            resident.state == "ready"
            and resident.name == model
            and version in ("", resident.version)
            and not self._has_open(
                MemoryItem(False, model, resident.version), _UNLOADS
            )
            for resident in self._newest_report.models
        )

    def _check_load(self, order: interface.Order) -> OrderRefused | None:
        if self._report is None:
            return OrderRefused(
                RefusalReason.UNSETTLED,
                "no report settles the former owner's orders",
            )
        used = self.committed_bytes(0.0)
        item = item_of(order)
        extra = order.bytes_needed
        if self.holds(item):
            extra = max(0, extra - self._committed_bytes_of(item))
        if used + extra > self._capacity:
            return OrderRefused(
                RefusalReason.NO_ROOM,
                f"{used} of {self._capacity} bytes may be in use, "
                f"the load needs {extra} more",
            )
        return None

    def _committed_bytes_of(self, item: MemoryItem) -> int:
        sizes = [self._resident_bytes().get(item, 0)]
        sizes += [
            entry.order.bytes_needed
            for entry in self._open.values()
            if entry.order.kind in _LOADS and item_of(entry.order) == item
        ]
        return max(sizes)

    def _earliest_taken(
        self, now: float, report: interface.Report, polled_at: float | None
    ) -> float:
        sent = now - REPORT_TRAVEL_MAX_S if polled_at is None else polled_at
        return sent - report.age_s

    def _is_repeat(self, report: interface.Report) -> bool:
        last = self._newest_report
        return (
            last is not None
            and last.incarnation == report.incarnation
            and last.sequence >= report.sequence
        )

    def _is_restart(self, report: interface.Report) -> bool:
        last = self._report
        return last is not None and last.incarnation != report.incarnation

    def _accept(
        self,
        report: interface.Report,
        earliest_taken: float,
        latest_taken: float,
    ) -> None:
        if self._is_restart(report) and self._report is not None:
            self._superseded.add(self._report.incarnation)
        self._report = report
        self._accept_taken_from = earliest_taken
        self._latest_taken = latest_taken
        self._report_outdated = False
        self._drop_settled_orders(earliest_taken)

    def _drop_settled_orders(self, earliest_taken: float) -> None:
        for order_id, entry in list(self._open.items()):
            if entry.latest_start <= earliest_taken:
                del self._open[order_id]
        for order_id, start_deadline in list(self._used_ids.items()):
            if start_deadline <= earliest_taken:
                del self._used_ids[order_id]

    def _resident_bytes(self) -> dict[MemoryItem, int]:
        if self._report is None:
            return {}
        items: dict[MemoryItem, int] = {}
        for adapter, residents in (
            (False, self._report.models),
            (True, self._report.adapters),
        ):
            for resident in residents:
                size = resident.bytes_used
                if resident.state == "loading":
                    size = max(size, self._sizes.get(resident.name, 0))
                item = MemoryItem(adapter, resident.name, resident.version)
                items[item] = items.get(item, 0) + size
        return items

    def _has_open(
        self, item: MemoryItem, kinds: tuple[interface.OrderKind, ...]
    ) -> bool:
        return any(
            entry.order.kind in kinds and item_of(entry.order) == item
            for entry in self._open.values()
        )
