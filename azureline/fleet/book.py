"""The memory book of one engine, kept by the owner of its orders.

The book bounds from above what the engine may hold now or come to hold by
orders that are already under way.  It rests on two facts that need no
synchronized clocks:

* A report that answers a poll was taken no earlier than the time of the poll
  minus the age that the report states.
* An order cannot be started later than its reservation plus the longest
  travel, its expiry and a margin for the engine's clock.

A report therefore settles exactly those orders whose latest start lies before
the earliest time at which the report can have been taken.  Answers settle
nothing: a second copy of the order may still be under way to a restarted
engine that remembers neither the order nor the highest fence.
"""

from collections.abc import Mapping
import enum
from typing import NamedTuple

from azureline.backends import interface

ORDER_TRAVEL_MAX_S = 5.0
"""Longest time from checking the lease to the engine's reading the order.

It is enforced by the order channel: the engine's side closes a channel that
has been silent for this long, so that what a frozen owner writes after waking
meets a closed connection.
"""

ORDER_EXPIRY_MAX_S = 5.0
"""Longest `Order.expires_in_s` that an owner may set."""

REPORT_TRAVEL_MAX_S = 5.0
"""Longest travel of a report that was not asked for by a poll."""

CLOCK_MARGIN_S = 1.0
"""Allowance for the drift of two monotonic clocks over one order."""

_LOADS = (interface.OrderKind.LOAD_MODEL, interface.OrderKind.LOAD_ADAPTER)
_UNLOADS = (
    interface.OrderKind.UNLOAD_MODEL,
    interface.OrderKind.UNLOAD_ADAPTER,
)
_ADAPTERS = (
    interface.OrderKind.LOAD_ADAPTER,
    interface.OrderKind.UNLOAD_ADAPTER,
)


class Reason(enum.Enum):
    """Why an order may not be sent."""

    UNSETTLED = "unsettled"
    NO_ROOM = "no_room"
    DUPLICATE = "duplicate"
    EXPIRY_TOO_LONG = "expiry_too_long"


class Refused(NamedTuple):
    """A falsy sentinel in place of an order that may not be sent.

    Attributes:
      reason: the rule that forbids it.
      detail: a sentence for people.
    """

    reason: Reason
    detail: str

    def __bool__(self) -> bool:
        return False

    @property
    def counter(self) -> str:
        """The name of the counter for this reason."""
        return f"book.refused.{self.reason.value}"


class Item(NamedTuple):
    """What can occupy an engine's memory.

    Attributes:
      adapter: whether it is an adapter; otherwise a model.
      name: name of the model or adapter.
      version: its version.
    """

    adapter: bool
    name: str
    version: str


class Open(NamedTuple):
    """An order whose outcome no report has settled.

    Attributes:
      order: the order as sent.
      latest_start: time in seconds after which it can no longer be started.
      result: the engine's answer, UNKNOWN while there is none.
    """

    order: interface.Order
    latest_start: float
    result: interface.OrderResult


def item_of(order: interface.Order) -> Item:
    """Returns the item that a load or unload order concerns."""
    return Item(order.kind in _ADAPTERS, order.target, order.version)


def latest_start(now: float, expires_in_s: float) -> float:
    """Returns the time after which an order reserved at `now` is dead."""
    return now + ORDER_TRAVEL_MAX_S + expires_in_s + CLOCK_MARGIN_S


def takeover_settles_at(taken_over_at: float, lease_s: float) -> float:
    """Returns when no order of any former owner can be started any more.

    Args:
      taken_over_at: time in seconds at which ownership was gained.
      lease_s: duration in seconds of the former owner's lease, with the
        margin that it keeps; it may have been renewed just before.

    Returns:
      A time on the clock of `taken_over_at`.
    """
    return latest_start(taken_over_at + lease_s, ORDER_EXPIRY_MAX_S)


class Book:
    """Bounds the memory of one engine under orders that may still act."""

    def __init__(
        self,
        capacity: int,
        reserve: int,
        unsettled_until: float = 0.0,
        sizes: Mapping[str, int] | None = None,
    ):
        """Starts with unknown contents.

        Args:
          capacity: accelerator memory of the engine in bytes.
          reserve: bytes of it set aside for the KV cache.
          unsettled_until: time before which orders of a former owner may
            start; see `takeover_settles_at`.
          sizes: configured bytes by name; a load in progress counts at least
            this much whatever the report says.
        """
        self._capacity = capacity
        self._reserve = reserve
        self._settled_to = unsettled_until
        self._sizes = sizes or {}
        self._report: interface.Report | None = None
        self._seen: interface.Report | None = None
        self._taken_before = 0.0
        self._retired: set[str] = set()
        self._doubtful = True
        self._open: dict[str, Open] = {}
        self._used_ids: dict[str, float] = {}

    @property
    def settled(self) -> bool:
        """Whether a report has replaced the unknown contents."""
        return self._report is not None

    @property
    def open_orders(self) -> tuple[Open, ...]:
        """The orders whose outcome no report has settled."""
        return tuple(self._open.values())

    @property
    def report(self) -> interface.Report | None:
        """The report that the book rests on."""
        return self._report

    def reserve(
        self, now: float, order: interface.Order
    ) -> interface.Order | Refused:
        """Counts an order as sent, or says why it must not be sent.

        Args:
          now: time in seconds at which the owner's lease was checked.
          order: the order; unloads and role changes need no room.

        Returns:
          The order, which must be sent at once or not at all.
        """
        if order.order_id in self._used_ids:
            return Refused(Reason.DUPLICATE, f"order {order.order_id} was sent")
        if order.expires_in_s > ORDER_EXPIRY_MAX_S:
            return Refused(
                Reason.EXPIRY_TOO_LONG,
                f"{order.expires_in_s} s is over {ORDER_EXPIRY_MAX_S} s",
            )
        if order.kind in _LOADS:
            refused = self._refuse_load(order)
            if refused is not None:
                return refused
        dead_at = latest_start(now, order.expires_in_s)
        self._open[order.order_id] = Open(
            order, dead_at, interface.OrderResult.UNKNOWN
        )
        self._used_ids[order.order_id] = dead_at
        return order

    def answered(
        self, now: float, order_id: str, result: interface.OrderResult
    ) -> None:
        """Notes the engine's answer, which frees no memory by itself.

        Args:
          now: time in seconds of the answer's arrival.
          order_id: the order; one already settled is ignored.
          result: what the engine said.
        """
        entry = self._open.get(order_id)
        if entry is not None:
            self._open[order_id] = entry._replace(result=result)

    def reported(
        self, now: float, report: interface.Report, asked: float | None = None
    ) -> bool:
        """Takes in a report if it is newer than the one the book rests on.

        Args:
          now: time in seconds of the report's arrival.
          report: the engine's account of itself, which lags by its age.
          asked: when the poll that it answers was sent; None if the engine
            sent it unasked.

        Returns:
          Whether the book now rests on this report.
        """
        earliest = self._earliest_taken(now, report, asked)
        if report.incarnation in self._retired or self._is_repeat(report):
            return False
        if self._is_restart(report) and earliest < self._taken_before:
            self._doubtful = True
            return False
        self._seen = report
        if earliest < self._settled_to:
            return False
        self._rest_on(report, earliest, now - report.age_s)
        return True

    def committed_bytes(self, now: float) -> int:
        """Returns the most that the engine may hold or come to hold.

        Args:
          now: time in seconds; kept for symmetry, the bound never relies on
            time alone.
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
        """Returns the bytes that a further load may take; never negative."""
        return max(0, self._capacity - self.committed_bytes(now))

    def holds(self, item: Item) -> bool:
        """Returns whether the engine may hold the item or come to hold it."""
        if item in self._resident_bytes():
            return True
        return self._has_open(item, _LOADS)

    def ready(self, model: str, version: str = "") -> bool:
        """Returns whether the engine serves a model and no unload may come.

        Safety decisions count only such replicas.

        Args:
          model: name of the model.
          version: its version; "" accepts any.
        """
        if self._report is None or self._doubtful:
            return False
        return self.seen_ready(model, version)

    def seen_ready(self, model: str, version: str = "") -> bool:
        """Returns whether the newest report shows a model as ready.

        Unlike `ready` it holds for a book that is not settled: an unload by a
        former owner may still be under way.

        Args:
          model: name of the model.
          version: its version; "" accepts any.
        """
        if self._seen is None:
            return False
        return any(
            resident.state == "ready"
            and resident.name == model
            and version in ("", resident.version)
            and not self._has_open(
                Item(False, model, resident.version), _UNLOADS
            )
            for resident in self._seen.models
        )

    def _refuse_load(self, order: interface.Order) -> Refused | None:
        if self._report is None:
            return Refused(Reason.UNSETTLED, "no report since the takeover")
        used = self.committed_bytes(0.0)
        item = item_of(order)
        extra = order.bytes_needed
        if self.holds(item):
            extra = max(0, extra - self._counted(item))
        if used + extra > self._capacity:
            return Refused(
                Reason.NO_ROOM,
                f"{used} of {self._capacity} bytes may be in use, "
                f"{extra} more are needed",
            )
        return None

    def _counted(self, item: Item) -> int:
        sizes = [self._resident_bytes().get(item, 0)]
        sizes += [
            entry.order.bytes_needed
            for entry in self._open.values()
            if entry.order.kind in _LOADS and item_of(entry.order) == item
        ]
        return max(sizes)

    def _earliest_taken(
        self, now: float, report: interface.Report, asked: float | None
    ) -> float:
        sent = now - REPORT_TRAVEL_MAX_S if asked is None else asked
        return sent - report.age_s

    def _is_repeat(self, report: interface.Report) -> bool:
        last = self._seen
        return (
            last is not None
            and last.incarnation == report.incarnation
            and last.sequence >= report.sequence
        )

    def _is_restart(self, report: interface.Report) -> bool:
        last = self._report
        return last is not None and last.incarnation != report.incarnation

    def _rest_on(
        self, report: interface.Report, earliest: float, before: float
    ) -> None:
        if self._is_restart(report) and self._report is not None:
            self._retired.add(self._report.incarnation)
        self._report = report
        self._settled_to = earliest
        self._taken_before = before
        self._doubtful = False
        self._drop_dead_orders(earliest)

    def _drop_dead_orders(self, earliest: float) -> None:
        for order_id, entry in list(self._open.items()):
            if entry.latest_start <= earliest:
                del self._open[order_id]
        for order_id, dead_at in list(self._used_ids.items()):
            if dead_at <= earliest:
                del self._used_ids[order_id]

    def _resident_bytes(self) -> dict[Item, int]:
        if self._report is None:
            return {}
        items: dict[Item, int] = {}
        for adapter, residents in (
            (False, self._report.models),
            (True, self._report.adapters),
        ):
            for resident in residents:
                size = resident.bytes_used
                if resident.state == "loading":
                    size = max(size, self._sizes.get(resident.name, 0))
                item = Item(adapter, resident.name, resident.version)
                items[item] = items.get(item, 0) + size
        return items

    def _has_open(
        self, item: Item, kinds: tuple[interface.OrderKind, ...]
    ) -> bool:
        return any(
            entry.order.kind in kinds and item_of(entry.order) == item
            for entry in self._open.values()
        )
