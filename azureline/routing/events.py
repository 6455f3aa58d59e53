r"""Reader of the server-sent events of one stream.

Events have the form `id: OFFSET\ndata: {...}\n\n`.  The first has offset 0, and
every data object begins with the request's id: `{"id":"REQUEST_ID"`.  The end
marker is `data: [DONE]`, with the next offset as its id or without an id.
"""

import enum
from typing import NamedTuple

from azureline.util import memory_budget

_END = b"\n\n"
_ID = b"id: "
_DATA = b"\ndata: "
_DONE = b"[DONE]"
# Limit of the chunks that bring one event; each costs time, however small.
MAX_EVENT_CHUNKS = 4096


class Counts(NamedTuple):
    """Events of one stream, for counters under `stream.`.

    Attributes:
      repeats: events that had already been forwarded.
      gaps: events with a later offset than the next one.
      mismatches: answers or events of another request.
      resumes: connections that were replaced.
      malformed: events that could not be parsed, were too large or came in
        too many chunks.
    """

    repeats: int = 0
    gaps: int = 0
    mismatches: int = 0
    resumes: int = 0
    malformed: int = 0


class ReadResult(NamedTuple):
    """Result of parsing a chunk of bytes.

    Attributes:
      events: complete events for the caller, in order.
      ended: whether the last of them is the end marker.
      faulty: whether the connection must be replaced.
    """

    events: list[bytes]
    ended: bool
    faulty: bool


class Action(enum.Enum):
    """Action for one event."""

    FORWARD = enum.auto()
    FINISH = enum.auto()
    DROP = enum.auto()
    FAULT = enum.auto()


# Aliases, since access to an enum's attribute is slower for each token.
_FORWARD = Action.FORWARD
_FINISH = Action.FINISH
_DROP = Action.DROP
_FAULT = Action.FAULT


class EventReader:
    """Splits bytes into events and passes on those that are next in order."""

    def __init__(
        self,
        request_id: str,
        event_bytes: int,
        memory: memory_budget.Reservation | None = None,
    ):
        """Creates a reader that expects offset 0.

        Args:
          request_id: identity that every event must carry.
          event_bytes: maximum size of an event.
          memory: reservation that takes the size of the incomplete event; None
            if it is not counted.
        """
        name = request_id.encode()
        self.next_offset = 0
        self.counts = Counts()
        self._request_id = request_id
        self._data_prefixes = (b'{"id":"%b"' % name, b'{"id": "%b"' % name)
        self._event_bytes = event_bytes
        self._memory = memory
        self._buffer = bytearray()
        self._chunks = 0
        self._confirmed = False

    def reset(self) -> None:
        """Prepares to read a new connection of the same stream."""
        self._buffer = bytearray()
        self._chunks = 0
        self._confirmed = False
        if self._memory is not None:
            self._memory.release()

    def check_request_id(self, request_id: str) -> bool:
        """Checks the request id that a response header echoes.

        Args:
          request_id: the echoed id, or "" if the header has none.

        Returns:
          False if it is the id of another request.
        """
        if request_id and request_id != self._request_id:
            self.count(mismatches=1)
            return False
        self._confirmed = bool(request_id)
        return True

    def feed(self, data: bytes) -> ReadResult:
        """Reads bytes of the current connection."""
        if not self._buffer and data.endswith(_END):
            return self._read_events(data)
        # An end that was there before would have been found.
        unsearched = max(0, len(self._buffer) + 1 - len(_END))
        self._buffer += data
        self._chunks += 1
        if self._buffer.find(_END, unsearched) < 0:
            return ReadResult([], False, self._exceeds_limit())
        return self._read_events(bytes(self._buffer))

    def _exceeds_limit(self) -> bool:
        """Returns whether the incomplete event exceeds a limit; counts it."""
        size = len(self._buffer)
        fits = size <= self._event_bytes and self._chunks <= MAX_EVENT_CHUNKS
        if fits and (self._memory is None or self._memory.resize(size)):
            return False
        self._malformed()
        return True

    def _read_events(self, buffer: bytes) -> ReadResult:
        """Reads complete events and keeps the incomplete one after them."""
        self._chunks = 0
        start = 0
        events: list[bytes] = []
        action = _DROP
        while (end := buffer.find(_END, start)) >= 0:
            event = buffer[start : end + 2]
            start = end + 2
            action = self._classify(event)
            if action is _FORWARD:
                events.append(event)
            elif action is _FINISH:
                events.append(event)
                break
            elif action is _FAULT:
                break
        self._buffer = bytearray(buffer[start:])
        is_faulty = action is _FAULT
        if action is not _FINISH and self._exceeds_limit():
            is_faulty = True
        return ReadResult(events, action is _FINISH, is_faulty)

    def count(self, **increments: int) -> None:
        """Adds to the counts by name."""
        old = self.counts
        self.counts = old._replace(
            **{name: getattr(old, name) + n for name, n in increments.items()}
        )

    def _classify(self, event: bytes) -> Action:
        """Decides on one event and advances the offset if it is the next."""
        colon = event.find(_DATA)
        if colon < 0 or not event.startswith(_ID):
            return self._classify_without_offset(event)
        text = event[4:colon]
        if not text.isdigit():
            return self._malformed()
        offset = int(text)
        body = colon + len(_DATA)
        done = event.startswith(_DONE, body)
        if not done and not event.startswith(self._data_prefixes, body):
            return self._mismatch()
        if offset != self.next_offset:
            return self._out_of_order(offset, done)
        if done:
            return _FINISH if self._confirmed else self._mismatch()
        self._confirmed = True
        self.next_offset = offset + 1
        return _FORWARD

    def _classify_without_offset(self, event: bytes) -> Action:
        if event.startswith(b":"):
            return _DROP
        if event.startswith(b"data: [DONE]"):
            # An end marker without an offset is accepted only on a connection
            # that is confirmed to carry this request.
            return _FINISH if self._confirmed else self._mismatch()
        return self._malformed()

    def _out_of_order(self, offset: int, done: bool) -> Action:
        if offset < self.next_offset and not done:
            self.count(repeats=1)
            self._confirmed = True
            return _DROP
        self.count(gaps=1)
        return _FAULT

    def _mismatch(self) -> Action:
        self.count(mismatches=1)
        return _FAULT

    def _malformed(self) -> Action:
        self.count(malformed=1)
        return _FAULT
