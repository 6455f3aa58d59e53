"""Task that connects a slot's owner to the service and the entry nodes."""

from collections.abc import Callable
import random
from typing import Any
from typing import NamedTuple

from absl import logging
from twisted.internet import defer

from azureline.at_most_once import effects
from azureline.at_most_once import limits as limits_lib
from azureline.at_most_once import messages
from azureline.at_most_once import owner as owner_lib
from azureline.core import clock as clock_lib
from azureline.core import task
from azureline.platform import interface


class NodeLost(NamedTuple):
    """An entry node has failed, or the connection to it was lost.

    Attributes:
      node: name of the node.
    """

    node: str


class Lease(NamedTuple):
    """The slot's lease has been renewed.

    Attributes:
      until: monotonic time in seconds at which the lease ends.
    """

    until: float


class Drain(NamedTuple):
    """Stop accepting claims and report when all pending writes are durable.

    Attributes:
      on_drained: called once with the slot.
    """

    on_drained: Callable[[int], None]


class _ReadDone(NamedTuple):
    key: str
    result: Any


class _WriteDone(NamedTuple):
    key: str
    result: Any


class _Start(NamedTuple):
    pass


class _Abandon(NamedTuple):
    pass


class _Tick(NamedTuple):
    pass


class Runner(task.Task[Any]):
    """Owns one slot in one epoch; requests of entry nodes are `post`ed."""

    def __init__(
        self,
        slot: int,
        epoch: int,
        writer: str,
        key_value: interface.KeyValue,
        send: Callable[[str, messages.Reply], None],
        on_deposed: Callable[[int], None],
        count: Callable[[str], None],
        clock: clock_lib.Clock,
        reactor: Any,
        rng: random.Random,
        limits: limits_lib.Limits | None = None,
    ):
        """Creates the task; `start` begins the takeover of the slot.

        Args:
          slot: number of the slot.
          epoch: epoch under which the node owns it.
          writer: identity of this process, unique for each start.
          key_value: the platform's key-value service.
          send: sends a reply to an entry node by name.
          on_deposed: called with the slot when a successor is found in the log.
          count: increments the counter with the given name.
          clock: the node's clocks.
          reactor: Twisted's reactor, for timers.
          rng: source of jitter.
          limits: retention and bounds on memory.
        """
        super().__init__(f"once/{slot}")
        self._slot = slot
        self._key_value = key_value
        self._send = send
        self._on_deposed = on_deposed
        self._count = count
        self._clock = clock
        self._reactor = reactor
        self._timer: Any = None
        self._stopped = False
        self._deposed_by = 0
        self._on_drained: Callable[[int], None] | None = None
        self._owner = owner_lib.Owner(
            slot, epoch, writer, clock.now(), clock.wall(), rng, limits
        )

    @property
    def active(self) -> bool:
        """Whether the log is sealed and loaded, so that claims are granted."""
        return self._owner.active

    @property
    def deposed_by(self) -> int:
        """Epoch of the successor that was found in the log, or 0."""
        return self._deposed_by

    def stop(self) -> defer.Deferred[None]:
        """Answers waiting claims with `NotOwner`, then ends the task."""
        self.post(_Abandon())
        return super().stop()

    def start(self) -> None:
        """Starts processing messages and the takeover of the slot."""
        self.exit_stack.callback(self._stop_timer)
        super().start()
        self.post(_Start())

    async def handle(self, message: Any) -> None:
        """Passes a message to the owner and performs the resulting effects."""
        for effect in self._decide(self._clock.now(), message):
            self._perform(effect)
        self._schedule_tick()
        if self._owner.drained and self._on_drained is not None:
            report, self._on_drained = self._on_drained, None
            report(self._slot)

    def _decide(self, now: float, message: Any) -> list[effects.Effect]:
        owner = self._owner
        match message:
            case _ReadDone(key, result):
                return owner.read_result(now, key, result)
            case _WriteDone(key, result):
                return owner.write_result(now, key, result)
            case NodeLost(node):
                return owner.node_lost(now, node)
            case Lease(until):
                owner.set_lease(until)
                return []
            case Drain(on_drained):
                self._on_drained = on_drained
                return owner.drain(now)
            case _Abandon():
                return owner.abandon()
            case _Start():
                return owner.start(now)
            case _Tick():
                return owner.tick(now, self._clock.wall())
        return owner.request(now, message)

    def _perform(self, effect: effects.Effect) -> None:
        match effect:
            case effects.Read(key):
                done = self._key_value.get(key)
                done.addErrback(_to_unavailable)
                done.addCallback(self._post_read, key)
            case effects.Write(key, value, version):
                done = self._key_value.put(key, value, version)
                done.addErrback(_to_unavailable)
                done.addCallback(self._post_write, key)
            case effects.Send(node, message):
                self._count(_counter_name(message))
                self._send(node, message)
            case effects.Deposed(epoch):
                logging.warning(
                    "task=%s event=deposed by_epoch=%d", self.name, epoch
                )
                self._count("once.deposed")
                self._deposed_by = epoch
                self._on_deposed(self._slot)

    def _post_read(self, result: Any, key: str) -> None:
        self.post(_ReadDone(key, result))

    def _post_write(self, result: Any, key: str) -> None:
        if isinstance(result, interface.Unavailable):
            self._count("once.write_unanswered")
        self.post(_WriteDone(key, result))

    def _schedule_tick(self) -> None:
        self._cancel_timer()
        now = self._clock.now()
        at = self._owner.wake_at(now)
        if at < float("inf") and not self._stopped:
            delay = max(0.0, at - now)
            self._timer = self._reactor.callLater(delay, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.post(_Tick())

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _stop_timer(self) -> None:
        self._stopped = True
        self._cancel_timer()


def _to_unavailable(failure: Any) -> interface.Unavailable:
    return interface.Unavailable(failure.getErrorMessage())


def _counter_name(message: messages.Reply) -> str:
    if isinstance(message, messages.Refused):
        return f"once.refused.{message.kind}"
    return f"once.{type(message).__name__.lower()}"
