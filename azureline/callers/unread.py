"""Answers that callers have not read yet."""

from typing import Any

from azureline.util import memory_budget
from azureline.util import transports

# A caller that reads nothing of a large answer for this time is cut off.
UNREAD_TIMEOUT_S = 5.0
_CHECK_S = 0.25


class UnreadAnswer:
    """Keeps the memory of an answer reserved until the caller has read it."""

    def __init__(
        self, reactor: Any, transport: Any, memory: memory_budget.Reservation
    ):
        """Creates an answer whose bytes were written to a transport.

        Args:
          reactor: the Twisted reactor.
          transport: the connection to the caller.
          memory: the memory of the answer, which is released here.
        """
        self._reactor = reactor
        self._transport = transport
        self._memory = memory
        self._unsent = 0
        self._read_at = reactor.seconds()
        self._check()

    def _check(self) -> None:
        now = self._reactor.seconds()
        unsent = transports.unsent_bytes(self._transport)
        if not self._transport.connected or unsent <= memory_budget.FREE_BYTES:
            self._memory.release()
            return
        if unsent < self._unsent:
            self._read_at = now
        self._unsent = unsent
        if now - self._read_at >= UNREAD_TIMEOUT_S:
            self._transport.abortConnection()
        self._reactor.callLater(_CHECK_S, self._check)
