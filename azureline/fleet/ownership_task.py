"""The task that runs slot ownership on the platform's key-value store."""

from collections.abc import Callable
import math
import random
from typing import Any
from typing import NamedTuple

from absl import logging
from twisted.internet import defer

from azureline.core import clock as clocks
from azureline.core import task
from azureline.fleet import ownership
from azureline.platform import interface


class _Tick(NamedTuple):
    """Runs the ownership code at the time that it asked for."""


class _LiveNodes(NamedTuple):
    nodes: tuple[str, ...]


class _RecordReceived(NamedTuple):
    name: str
    record: ownership.Record


class _AddNames(NamedTuple):
    names: tuple[str, ...]


class _Reacquire(NamedTuple):
    name: str
    epoch: int


class _ReadDone(NamedTuple):
    name: str
    result: Any


class _WriteDone(NamedTuple):
    name: str
    result: Any


class _Release(NamedTuple):
    done: defer.Deferred


class Events(NamedTuple):
    """Called when the ownership of a slot changes.

    Attributes:
      acquired: called with the name and epoch of a slot that this node owns
        from now on.
      renewed: called with the name of a slot and the monotonic time in seconds
        until which this node owns it.
      lost: called with the name of a slot that this node no longer owns.
      holder_changed: called with the name and record of a new holder.
    """

    acquired: Callable[[str, int], None]
    renewed: Callable[[str, float], None]
    lost: Callable[[str], None]
    holder_changed: Callable[[str, ownership.Record], None]


class OwnershipTask(task.Task[Any]):
    """Takes, renews and releases slots for one node."""

    def __init__(
        self,
        reactor: Any,
        node: str,
        identity: str,
        address: str,
        names: tuple[str, ...],
        key_value: interface.KeyValue,
        clock: clocks.Clock,
        rng: random.Random,
        events: Events,
    ):
        """Creates the task.

        Args:
          reactor: the Twisted reactor.
          node: name of this node's VM.
          identity: identity of this process.
          address: address at which other nodes reach this one.
          names: names of the slots.
          key_value: the platform's key-value store.
          clock: source of monotonic time.
          rng: source of jitter.
          events: callbacks for changes of ownership.
        """
        super().__init__("ownership")
        self._reactor = reactor
        self._key_value = key_value
        self._clock = clock
        self._events = events
        self._timer: Any = None
        self._release_waiters: list[defer.Deferred] = []
        self._ownership = ownership.Ownership(
            node, identity, address, names, clock.now(), rng
        )
        self.exit_stack.callback(self._cancel_timer)

    def start(self) -> None:
        """Starts taking slots."""
        super().start()
        self.post(_Tick())

    def set_live_nodes(self, nodes: list[str]) -> None:
        """Sets the names of the nodes that are alive, including this one."""
        self.post(_LiveNodes(tuple(nodes)))

    def record_received(self, name: str, record: ownership.Record) -> None:
        """Takes the record of a slot received from another node."""
        self.post(_RecordReceived(name, record))

    def add_names(self, names: tuple[str, ...]) -> None:
        """Adds slots that this node may take."""
        self.post(_AddNames(names))

    def reacquire(self, name: str, epoch: int) -> None:
        """Takes a slot again above an epoch; see `Ownership.reacquire`."""
        self.post(_Reacquire(name, epoch))

    def release(self) -> defer.Deferred[None]:
        """Releases all slots, for a graceful shutdown.

        Returns:
          A deferred that fires when the store has confirmed the releases.  It
          may never fire during an outage of the store.
        """
        done: defer.Deferred[None] = defer.Deferred()
        self.post(_Release(done))
        return done

    def holder(self, name: str) -> str:
        """Returns the last known holder of a slot, or ""."""
        record = self._ownership.holder(name)
        return record.holder if record else ""

    def known_epoch(self, name: str) -> int:
        """Returns the latest known epoch of a slot, or 0."""
        record = self._ownership.holder(name)
        return record.epoch if record else 0

    def epoch(self, name: str) -> int:
        """Returns the epoch under which this node owns a slot, or 0."""
        return self._ownership.epoch(name)

    def may_act(self, name: str, travel_s: float = 0.0) -> bool:
        """Returns whether an order sent now arrives within the lease."""
        return self._ownership.may_act(self._clock.now(), name, travel_s)

    def predecessor_done_at(self, name: str, travel_s: float) -> float:
        """Returns when a new holder may order engines that ignore fences."""
        return self._ownership.predecessor_done_at(name, travel_s)

    async def handle(self, message: Any) -> None:
        """Passes one message to the ownership code and runs its effects."""
        now = self._clock.now()
        match message:
            case _Tick():
                self._run_effects(self._ownership.tick(now))
            case _LiveNodes(nodes):
                self._run_effects(self._ownership.set_live_nodes(now, nodes))
            case _AddNames(names):
                self._run_effects(self._ownership.add_names(now, names))
            case _Reacquire(name, epoch):
                self._run_effects(self._ownership.reacquire(now, name, epoch))
            case _RecordReceived(name, record):
                self._run_effects(
                    self._ownership.record_received(now, name, record)
                )
            case _ReadDone(name, result):
                self._run_effects(
                    self._ownership.read_result(now, name, result)
                )
            case _WriteDone(name, result):
                self._run_effects(
                    self._ownership.write_result(now, name, result)
                )
            case _Release(done):
                self._release(now, done)
        self._notify_released()
        self._schedule_tick()

    def _release(self, now: float, done: defer.Deferred) -> None:
        self._release_waiters.append(done)
        self._run_effects(self._ownership.release(now))

    def _run_effects(self, effects: list[ownership.Effect]) -> None:
        for effect in effects:
            match effect:
                case ownership.Read(name):
                    self._read(name)
                case ownership.Write(name, value, version):
                    self._write(name, value, version)
                case ownership.Acquired(name, epoch):
                    logging.info("event=acquired slot=%s epoch=%d", name, epoch)
                    self._events.acquired(name, epoch)
                case ownership.Renewed(name, _, until):
                    self._events.renewed(name, until)
                case ownership.Lost(name):
                    logging.info("event=lost slot=%s", name)
                    self._events.lost(name)
                case ownership.HolderChanged(name, record):
                    self._events.holder_changed(name, record)

    def _notify_released(self) -> None:
        if not self._ownership.released:
            return
        for done in self._release_waiters:
            done.callback(None)
        self._release_waiters.clear()

    def _read(self, name: str) -> None:
        reading = self._key_value.get(ownership.KEY_PREFIX + name)
        reading.addCallback(lambda r: self.post(_ReadDone(name, r)))

    def _write(self, name: str, value: bytes, version: int) -> None:
        writing = self._key_value.put(
            ownership.KEY_PREFIX + name, value, version
        )
        writing.addCallback(lambda r: self.post(_WriteDone(name, r)))

    def _schedule_tick(self) -> None:
        self._cancel_timer()
        wake_at = self._ownership.wake_at()
        if wake_at == math.inf:
            return
        delay = max(0.0, wake_at - self._clock.now())
        self._timer = self._reactor.callLater(delay, self.post, _Tick())

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
