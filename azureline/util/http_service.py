"""HTTP server factory with a configurable request class."""

import time
from typing import Any

from twisted.internet import reactor as default_reactor
from twisted.web import http

from azureline.util import turns

# Received bytes that are parsed at once: at first, as a caller can put hundreds
# of chunks into that many, and after parts that cost little time.
_MIN_PART_BYTES = 1024
_MAX_PART_BYTES = 8192
_CHEAP_PART_S = 0.0002
# Time of parsing after which other connections get their turn.
_PARSE_S = 0.001


class _Reading:
    """Reads from a transport while neither of two sides asks for a pause.

    Twisted's channel pauses and resumes by itself, as requests and responses
    go on.
    """

    def __init__(self, transport: Any):
        self._transport = transport
        self._paused_by_channel = False
        self._paused_by_turns = False

    def pauseProducing(self):  # noqa: N802
        self._paused_by_channel = True
        self._transport.pauseProducing()

    def resumeProducing(self):  # noqa: N802
        self._paused_by_channel = False
        self._resume()

    def pause_for_turns(self) -> None:
        self._paused_by_turns = True
        self._transport.pauseProducing()

    def end_pause_for_turns(self) -> None:
        self._paused_by_turns = False
        self._resume()

    def unregisterProducer(self):  # noqa: N802
        self._transport.unregisterProducer()

    def _resume(self) -> None:
        if not self._paused_by_channel and not self._paused_by_turns:
            self._transport.resumeProducing()


class Channel(http.HTTPChannel):
    """A connection that registers with its factory.

    It parses what it received in several turns if that is much.
    """

    def __init__(self):
        super().__init__()
        self._unparsed = memoryview(b"")
        self._part_bytes = _MIN_PART_BYTES
        self._is_parsing = False
        # The next turn, while not all that was received has been parsed.
        self._next_turn: Any = None

    def connectionMade(self):  # noqa: D102, N802
        super().connectionMade()
        self._networkProducer = _Reading(self.transport)
        self.factory.channels.add(self)

    def connectionLost(self, reason):  # noqa: D102, N802
        self.factory.channels.discard(self)
        self._unparsed = memoryview(b"")
        turn, self._next_turn = self._next_turn, None
        if turn is not None:
            turn.cancel()
        super().connectionLost(reason)

    def dataReceived(self, data):  # noqa: D102, N802
        self._unparsed = memoryview(bytes(self._unparsed) + data)
        self._parse_unless_busy()

    def setLineMode(self, extra=b""):  # noqa: N802
        """Goes on after a request; `extra` came while it was handled."""
        super().setLineMode()
        # Later bytes may wait to be parsed.
        self._unparsed = memoryview(extra + bytes(self._unparsed))
        self._parse_unless_busy()

    def _parse_unless_busy(self) -> None:
        if self._unparsed and not self._is_parsing and self._next_turn is None:
            self._parse()

    def _parse_part(self) -> None:
        size = self._part_bytes
        if isinstance(self._transferDecoder, http._IdentityTransferDecoder):
            # A body with a length costs no time for each byte.
            size = len(self._unparsed)
        part = bytes(self._unparsed[:size])
        self._unparsed = self._unparsed[size:]
        super().dataReceived(part)

    def _set_part_bytes(self, took_s: float) -> None:
        """Adjusts the size of parts to what the last one cost."""
        if took_s < _CHEAP_PART_S:
            self._part_bytes = min(2 * self._part_bytes, _MAX_PART_BYTES)
        else:
            self._part_bytes = max(self._part_bytes // 2, _MIN_PART_BYTES)

    def _parse_next(self) -> None:
        self._next_turn = None
        self._parse()
        if self._next_turn is None:
            self._networkProducer.end_pause_for_turns()

    def _parse(self) -> None:
        """Parses a part of what was received, the rest in a later turn."""
        now = time.monotonic()
        ends_at = now + _PARSE_S
        self._is_parsing = True
        try:
            while now < ends_at:
                began_at = now
                self._parse_part()
                if not self._unparsed:
                    return
                now = time.monotonic()
                self._set_part_bytes(now - began_at)
        finally:
            self._is_parsing = False
        self._networkProducer.pause_for_turns()
        self._next_turn = self.factory.turns.call(self._parse_next)


class Factory(http.HTTPFactory):
    """Creates connections whose requests are of a given class.

    Attributes:
      channels: the open connections.
      turns: turns of the connections with much to parse.
    """

    def __init__(self, request: type[http.Request], idle_s: float = 60.0):
        """Creates a factory.

        Args:
          request: class of the requests.
          idle_s: seconds that a connection may stay idle.
        """
        super().__init__(timeout=idle_s)
        self.channels: set[Channel] = set()
        self.turns = turns.Turns(default_reactor)
        self.protocol = Channel
        self._request = request

    def set_idle_s(self, idle_s: float) -> None:
        """Sets the idle timeout of new connections."""
        self.timeOut = idle_s

    def close_idle(self) -> None:
        """Closes the connections without a request in progress."""
        for channel in list(self.channels):
            if not channel.requests:
                channel.loseConnection()

    def buildProtocol(self, addr):  # noqa: D102, N802
        built = super().buildProtocol(addr)
        built.requestFactory = self._request
        return built
