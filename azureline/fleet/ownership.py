"""Leased ownership of named slots through the platform's key-value store.

The record of a slot counts the renewals of its holder.  Another node takes
the slot once the record has not changed for the duration of a lease and a
margin on that node's own monotonic clock, so clocks need to agree on nothing
but their rate.  The holder stops acting a margin before the lease, counted
from the *start* of its last renewal, has passed.  The epoch grows with each
change of holder and serves as the fencing token.
"""

from collections.abc import Iterable
import dataclasses
import enum
import functools
import hashlib
import random
from typing import NamedTuple

import msgpack

from azureline.platform import interface
from azureline.util import backoff

KEY_PREFIX = "own/"
LEASE_S = 12.0
MARGIN_S = 1.0
RENEW_S = 4.0
POLL_S = 4.0

CANDIDATES = 2
"""Number of nodes, in the order of their ranks, that may take a slot."""

RANK_DELAY_S = 4.0
"""Additional wait per rank, so that the preferred node takes a slot first."""

RETRY_BASE_S = 0.2
RETRY_MAX_S = 15.0
JITTER = 0.1

_NEVER = float("inf")


class Record(NamedTuple):
    """Who owns a slot, as stored at `own/NAME`.

    Attributes:
      holder: name of the node, or "" if the slot has been released.
      epoch: grows with each change of holder; the fencing token.
      identity: identity of the holder's process, unique for each start.
      address: address at which other nodes reach the holder.
      renewals: grows with each write.
    """

    holder: str
    epoch: int
    identity: str
    address: str
    renewals: int


class Read(NamedTuple):
    """Asks the caller to read `own/NAME` and pass it to `read_result`.

    Attributes:
      name: name of the slot.
    """

    name: str


class Write(NamedTuple):
    """Asks the caller to compare-and-swap `own/NAME`.

    The caller passes the result to `write_result`.

    Attributes:
      name: name of the slot.
      value: the new value.
      version: the version that the stored record must have.
    """

    name: str
    value: bytes
    version: int


class Acquired(NamedTuple):
    """This node owns the slot from now on.

    Attributes:
      name: name of the slot.
      epoch: the fencing token.
    """

    name: str
    epoch: int


class Renewed(NamedTuple):
    """This node has renewed its lease of the slot.

    Attributes:
      name: name of the slot.
      epoch: the fencing token.
      until: monotonic time in seconds at which this node must stop acting.
    """

    name: str
    epoch: int
    until: float


class Lost(NamedTuple):
    """This node no longer owns the slot.

    Attributes:
      name: name of the slot.
    """

    name: str


class HolderChanged(NamedTuple):
    """The slot has a new holder, which the caller publishes to other nodes.

    Attributes:
      name: name of the slot.
      record: the record.
    """

    name: str
    record: Record


def pack(record: Record) -> bytes:
    """Returns the bytes of a record."""
    return msgpack.packb(list(record))


def unpack(value: bytes) -> Record | None:
    """Returns the record in a value, or None if the value is malformed."""
    try:
        return Record(*msgpack.unpackb(value))
    except (ValueError, TypeError, msgpack.exceptions.StackError):
        return None


Effect = Read | Write | Acquired | Renewed | Lost | HolderChanged


class _Mode(enum.Enum):
    IDLE = "idle"
    TAKING = "taking"
    HOLDING = "holding"
    RELEASING = "releasing"


@dataclasses.dataclass
class _Attempt:
    """A write that is repeated with the same bytes until it has a result."""

    record: Record
    version: int
    first_started: float
    started: float


@dataclasses.dataclass
class _Slot:
    """The state of one slot on this node; times are monotonic, in seconds.

    Attributes:
      record: the record that this node read or wrote last.
      version: version of the stored record; 0 if the key is absent.
      changed_at: start of the time for which the record counts as unchanged.
      read_at: when this node last read or wrote the record.
      newest_record: the newest record that this node read, wrote or received
        from another node.
      rank: position of this node in the slot's preference order of nodes.
      mode: what this node does with the slot.
      attempt: the write without a result, if any.
      call_in_flight: whether a call to the store is in flight.
      failures: number of consecutive calls without an answer.
      next_at: when to act on the slot next.
      lease_until: when this node must stop acting as holder.
      acquired_at: when this node took the slot.
      former_lease_expired: whether this node took the slot after the former
        holder did not renew its lease, rather than after a release.
      min_epoch: the lowest epoch under which this node may take the slot.
    """

    record: Record | None = None
    version: int = 0
    changed_at: float = 0.0
    read_at: float = -_NEVER
    newest_record: Record | None = None
    rank: int = CANDIDATES
    mode: _Mode = _Mode.IDLE
    attempt: _Attempt | None = None
    call_in_flight: bool = False
    failures: int = 0
    next_at: float = _NEVER
    lease_until: float = -_NEVER
    acquired_at: float = 0.0
    former_lease_expired: bool = True
    min_epoch: int = 1


class Ownership:
    """Decides which slots this node takes, renews and releases."""

    def __init__(
        self,
        node: str,
        identity: str,
        address: str,
        names: Iterable[str],
        now: float,
        rng: random.Random,
    ):
        """Creates the state of a node that owns nothing.

        Args:
          node: name of this node.
          identity: identity of this process, unique for each start.
          address: address at which other nodes reach this one.
          names: the slots, such as "once/0" or "planner".
          now: monotonic time in seconds.
          rng: source of jitter.
        """
        self._node = node
        self._identity = identity
        self._address = address
        self._rng = rng
        self._slots = {name: _Slot(changed_at=now) for name in names}
        self._nodes: list[str] = []
        self._leaving = False

    @property
    def released(self) -> bool:
        """Whether all slots are released after a call of `release`."""
        idle = all(s.mode is _Mode.IDLE for s in self._slots.values())
        return self._leaving and idle

    def wake_at(self) -> float:
        """Returns the time at which `tick` must be called."""
        return min(
            (s.next_at for s in self._slots.values() if not s.call_in_flight),
            default=_NEVER,
        )

    def tick(self, now: float) -> list[Effect]:
        """Renews owned slots and polls those that this node may take."""
        effects: list[Effect] = []
        for name, slot in self._slots.items():
            if not slot.call_in_flight and now >= slot.next_at:
                effects += self._advance(now, name, slot)
        return effects

    def add_names(self, now: float, names: Iterable[str]) -> list[Effect]:
        """Adds slots; known slots stay as they are."""
        for name in names:
            self._slots.setdefault(name, _Slot(changed_at=now))
        return self.set_live_nodes(now, self._nodes)

    def set_live_nodes(self, now: float, nodes: Iterable[str]) -> list[Effect]:
        """Sets the names of the nodes that are alive, including this one."""
        self._nodes = list(nodes)
        for name, slot in self._slots.items():
            slot.rank = _rank(name, self._node, self._nodes)
            if slot.mode is not _Mode.IDLE:
                continue
            if slot.rank >= CANDIDATES or self._leaving:
                slot.next_at = _NEVER
            elif slot.next_at == _NEVER:
                slot.next_at = now + self._rng.uniform(0, POLL_S)
                slot.changed_at = now
        return self.tick(now)

    def record_received(
        self, now: float, name: str, record: Record
    ) -> list[Effect]:
        """Takes a record received from another node."""
        slot = self._slots.get(name)
        if slot is None:
            return []
        known = slot.newest_record
        if known is not None and _sort_key(record) <= _sort_key(known):
            return []
        slot.newest_record = record
        candidate = slot.mode is _Mode.IDLE and slot.next_at < _NEVER
        if candidate and not record.holder:
            slot.next_at = now
            return self.tick(now)
        return []

    def read_result(
        self,
        now: float,
        name: str,
        result: interface.Entry | None | interface.Unavailable,
    ) -> list[Effect]:
        """Takes the result of a `Read`."""
        slot = self._slots[name]
        slot.call_in_flight = False
        if isinstance(result, interface.Unavailable):
            self._back_off(now, slot)
            return []
        if slot.failures:
            # Holders could not renew during the outage, so the wait for an
            # unchanged record starts again and gives them time to renew.
            slot.changed_at = now
        slot.failures = 0
        effects = self._entry_read(now, name, slot, result)
        slot.next_at = now
        return effects + self._advance(now, name, slot, read=True)

    def write_result(
        self,
        now: float,
        name: str,
        result: interface.Entry | interface.Conflict | interface.Unavailable,
    ) -> list[Effect]:
        """Takes the result of a `Write`."""
        slot = self._slots[name]
        slot.call_in_flight = False
        attempt = slot.attempt
        if isinstance(result, interface.Unavailable):
            self._back_off(now, slot)
            return []
        slot.failures = 0
        slot.attempt = None
        if isinstance(result, interface.Entry):
            slot.version = result.version
            return self._write_succeeded(
                now, name, slot, attempt, attempt.started
            )
        current = result.current
        record = unpack(current.value) if current else None
        if record == attempt.record:
            slot.version = current.version
            started = attempt.first_started
            return self._write_succeeded(now, name, slot, attempt, started)
        return self._write_conflicted(now, name, slot, current)

    def reacquire(self, now: float, name: str, epoch: int) -> list[Effect]:
        """Gives up a slot and takes it again above an epoch seen elsewhere.

        The caller has found that a higher epoch than this node's has sealed
        what the slot protects, although the record still names this node.
        This happens when the store has lost the record or restored an old one.

        Args:
          now: monotonic time in seconds.
          name: name of the slot.
          epoch: the epoch found in what the slot protects.
        """
        slot = self._slots[name]
        slot.min_epoch = max(slot.min_epoch, epoch + 1)
        if slot.mode is not _Mode.HOLDING or slot.record.epoch > epoch:
            return []
        slot.lease_until = -_NEVER
        if slot.attempt is None:
            slot.mode = _Mode.IDLE
            slot.next_at = now
        return [Lost(name), *self.tick(now)]

    def release(self, now: float) -> list[Effect]:
        """Stops acting and releases all slots, for a graceful shutdown."""
        self._leaving = True
        for slot in self._slots.values():
            slot.lease_until = -_NEVER
            slot.next_at = _NEVER if slot.mode is _Mode.IDLE else now
        return self.tick(now)

    def holder(self, name: str) -> Record | None:
        """Returns the last known record of a slot; it may be out of date."""
        slot = self._slots.get(name)
        return slot.newest_record if slot else None

    def epoch(self, name: str) -> int:
        """Returns the epoch under which this node owns a slot, or 0."""
        slot = self._slots[name]
        return slot.record.epoch if slot.mode is _Mode.HOLDING else 0

    def may_act(self, now: float, name: str, travel_s: float = 0.0) -> bool:
        """Whether an order sent now arrives while this node owns the slot.

        Args:
          now: monotonic time in seconds, read immediately before sending.
          name: name of the slot.
          travel_s: longest travel time of the order in seconds.
        """
        slot = self._slots[name]
        holding = slot.mode is _Mode.HOLDING
        return holding and now + travel_s < slot.lease_until

    def predecessor_done_at(self, name: str, travel_s: float) -> float:
        """Returns when a new holder may order engines that ignore fences.

        By then no order of the former holder is still in flight.

        Args:
          name: name of the slot.
          travel_s: longest travel time of an order in seconds.
        """
        slot = self._slots[name]
        if slot.mode is not _Mode.HOLDING:
            return _NEVER
        wait = LEASE_S + MARGIN_S if slot.former_lease_expired else 0.0
        return slot.acquired_at + wait + travel_s

    def _advance(
        self, now: float, name: str, slot: _Slot, read: bool = False
    ) -> list[Effect]:
        """Calls the store as the slot requires.

        Args:
          now: monotonic time in seconds.
          name: name of the slot.
          slot: state of the slot.
          read: whether the record has just been read.
        """
        if slot.attempt is not None:
            return self._write(now, name, slot, slot.attempt)
        if slot.mode is _Mode.HOLDING:
            holder = "" if self._leaving else self._node
            if self._leaving:
                slot.mode = _Mode.RELEASING
            return self._propose(now, name, slot, holder, slot.record.epoch)
        if self._leaving or slot.rank >= CANDIDATES:
            slot.next_at = _NEVER
            return []
        takeable_at = self._takeable_at(slot)
        up_to_date = read or now - slot.read_at <= POLL_S * (1 + JITTER)
        if up_to_date and now >= takeable_at:
            slot.mode = _Mode.TAKING
            slot.former_lease_expired = bool(slot.record and slot.record.holder)
            known = slot.newest_record.epoch if slot.newest_record else 0
            epoch = max(known + 1, slot.min_epoch)
            return self._propose(now, name, slot, self._node, epoch)
        if read:
            slot.next_at = min(takeable_at, now + self._jittered(POLL_S))
            return []
        slot.call_in_flight = True
        return [Read(name)]

    def _takeable_at(self, slot: _Slot) -> float:
        record = slot.record
        delay = slot.rank * RANK_DELAY_S
        if record is not None and record.holder:
            if record.identity == self._identity:
                return slot.changed_at
            delay += LEASE_S + MARGIN_S
        return slot.changed_at + delay

    def _propose(
        self, now: float, name: str, slot: _Slot, holder: str, epoch: int
    ) -> list[Effect]:
        renewals = slot.record.renewals + 1 if slot.record else 1
        record = Record(holder, epoch, self._identity, self._address, renewals)
        slot.attempt = _Attempt(record, slot.version, now, now)
        return self._write(now, name, slot, slot.attempt)

    def _write(
        self, now: float, name: str, slot: _Slot, attempt: _Attempt
    ) -> list[Effect]:
        attempt.started = now
        slot.call_in_flight = True
        return [Write(name, pack(attempt.record), attempt.version)]

    def _write_succeeded(
        self,
        now: float,
        name: str,
        slot: _Slot,
        attempt: _Attempt,
        started: float,
    ) -> list[Effect]:
        """Acts on a write of this node that has taken effect.

        Args:
          now: monotonic time in seconds.
          name: name of the slot.
          slot: state of the slot.
          attempt: the write.
          started: time from which the lease counts: the start of the write, or
            of its first try if it is unknown which try took effect.
        """
        record = attempt.record
        slot.record = slot.newest_record = record
        slot.changed_at = slot.read_at = now
        if slot.mode is _Mode.RELEASING:
            slot.mode = _Mode.IDLE
            slot.next_at = _NEVER
            return [Lost(name), HolderChanged(name, record)]
        effects: list[Effect] = []
        if record.epoch < slot.min_epoch:
            slot.mode = _Mode.IDLE
            slot.next_at = now
            return self._advance(now, name, slot)
        taken = slot.mode is _Mode.TAKING
        slot.mode = _Mode.HOLDING
        if self._leaving:
            return self._advance(now, name, slot)
        if taken:
            slot.acquired_at = now
            effects.append(Acquired(name, record.epoch))
            effects.append(HolderChanged(name, record))
        slot.lease_until = started + LEASE_S - MARGIN_S
        slot.next_at = max(now, started + self._jittered(RENEW_S))
        return [*effects, Renewed(name, record.epoch, slot.lease_until)]

    def _write_conflicted(
        self,
        now: float,
        name: str,
        slot: _Slot,
        current: interface.Entry | None,
    ) -> list[Effect]:
        """Acts on a conflict with a write by another node."""
        held = slot.mode in (_Mode.HOLDING, _Mode.RELEASING)
        slot.mode = _Mode.IDLE
        slot.lease_until = -_NEVER
        effects: list[Effect] = [Lost(name)] if held else []
        effects += self._entry_read(now, name, slot, current)
        if slot.rank >= CANDIDATES or self._leaving:
            slot.next_at = _NEVER
        else:
            slot.next_at = now + self._jittered(POLL_S)
        return effects

    def _entry_read(
        self,
        now: float,
        name: str,
        slot: _Slot,
        entry: interface.Entry | None,
    ) -> list[Effect]:
        """Takes the stored entry that a read or a conflict returned."""
        version = entry.version if entry else 0
        slot.read_at = now
        if version == slot.version:
            return []
        before = slot.record
        slot.version = version
        slot.changed_at = now
        slot.record = unpack(entry.value) if entry else None
        if slot.record is None:
            return []
        if slot.newest_record is None or _sort_key(slot.record) > _sort_key(
            slot.newest_record
        ):
            slot.newest_record = slot.record
        if before is not None and before.epoch == slot.record.epoch:
            return []
        return [HolderChanged(name, slot.record)]

    def _back_off(self, now: float, slot: _Slot) -> None:
        slot.failures += 1
        bound = backoff.pause_s(RETRY_BASE_S, RETRY_MAX_S, slot.failures)
        slot.next_at = now + self._rng.uniform(0, bound)

    def _jittered(self, seconds: float) -> float:
        return seconds * self._rng.uniform(1 - JITTER, 1 + JITTER)


def _sort_key(record: Record) -> tuple[int, int]:
    return record.epoch, record.renewals


def _rank(name: str, node: str, nodes: list[str]) -> int:
    """Returns the rank of a node by rendezvous hashing; 0 is preferred."""
    if node not in nodes:
        return len(nodes)
    own = _weight(name, node)
    return sum(_weight(name, other) > own for other in nodes)


@functools.lru_cache(maxsize=1 << 15)
def _weight(name: str, node: str) -> bytes:
    data = f"{name} {node}".encode()
    return hashlib.blake2b(data, digest_size=8).digest()
