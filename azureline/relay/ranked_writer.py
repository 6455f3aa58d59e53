"""Writes a record of the platform's store that all nodes would write the same.

Each node waits for those before it in an order that all nodes agree on, so that
usually one of them writes and the others see that nothing is left to do.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from azureline.relay import peers as peers_lib
from azureline.routing import rendezvous
from azureline.util import events

_RANK_DELAY_S = 0.4
_MAX_RANK = 10
# Delay of a retry, in which the follower tells what is stored.
_RETRY_S = 0.5


class RankedWriter:
    """Schedules and runs the writes of one record."""

    def __init__(
        self,
        reactor: Any,
        peers: peers_lib.Peers,
        key: str,
        write: Callable[[], Awaitable[bool]],
        check: Callable[[float], None],
        log: events.Log,
    ):
        """Creates a writer without a write.

        Args:
          reactor: the Twisted reactor.
          peers: the other nodes.
          key: key of the record, which also selects the order of nodes.
          write: writes the record if that is still needed; returns whether
            nothing is left to do.
          check: called after a write with the seconds to add to the delay of
            the next one; schedules it if it is needed.
          log: receives a line for a write that failed.
        """
        self._reactor = reactor
        self._peers = peers
        self._key = key
        self._write = write
        self._check = check
        self._log = log
        self._timer: Any = None
        self._writing = False
        self._closed = False

    @property
    def rank(self) -> int:
        """This node's place in the order of nodes."""
        names = rendezvous.ordered_servers(
            self._key.encode(), self._peers.nodes
        )
        return min(_MAX_RANK, names.index(self._peers.name))

    def close(self) -> None:
        """Stops writing."""
        self._closed = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def schedule(self, delay_s: float) -> None:
        """Schedules a write, unless there is one already.

        Args:
          delay_s: seconds that the first node in the order waits.
        """
        if self._closed or self._writing:
            return
        if self._timer is not None and self._timer.active():
            return
        self._timer = self._reactor.callLater(
            delay_s + self.rank * _RANK_DELAY_S, self._start
        )

    def _start(self) -> None:
        self._writing = True
        writing = defer.ensureDeferred(self._write())
        writing.addErrback(
            lambda f: self._log.error(
                "record_not_written", key=self._key, reason=f.getTraceback()
            )
        )
        writing.addCallback(self._finish)

    def _finish(self, done: bool | None) -> None:
        self._writing = False
        self._check(0.0 if done else _RETRY_S)
