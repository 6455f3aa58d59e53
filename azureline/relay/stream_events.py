"""Splits a stream into complete events and rejects repeated ones."""

from typing import NamedTuple

from azureline.util import digits
from azureline.util import memory_budget

_EVENT_END = b"\n\n"
MAX_EVENT_BYTES = 256 << 10
# Limit of the chunks that bring one event; each costs time, however small.
MAX_EVENT_CHUNKS = 4096
_MAX_ID_DIGITS = 100
_NO_MEMORY = "incomplete events of other streams use the node's memory"


class Read(NamedTuple):
    """Result of reading a chunk of bytes.

    Attributes:
      pieces: complete events to pass on, in order.
      fault: error after which the stream must not be read any more, or "".
    """

    pieces: bytes
    fault: str


class EventReader:
    """Splits the bytes of a stream into events and checks their ids.

    One reader serves all connections of a resumed stream.

    Attributes:
      passed: number of events that were passed on.
    """

    def __init__(self, last_event: str):
        """Creates a reader.

        Args:
          last_event: id of the last event that the caller received, or "".
        """
        self._last_id = digits.parse(last_event, _MAX_ID_DIGITS)
        self._buffer = bytearray()
        self._chunks = 0
        self._memory: memory_budget.Reservation | None = None
        self.passed = 0

    @property
    def last_event(self) -> str:
        """Id of the last event that was passed on, or "" without one."""
        return "" if self._last_id is None else str(self._last_id)

    def restart(self, memory: memory_budget.Reservation | None = None) -> None:
        """Starts to read the same stream from another connection.

        Args:
          memory: reservation that takes the size of the incomplete event; the
            caller releases it. None if it is not counted.
        """
        self._buffer = bytearray()
        self._chunks = 0
        self._memory = memory

    def feed(self, data: bytes) -> Read:
        """Adds bytes and returns the events that are now complete."""
        # An end that was there before would have been found.
        unsearched = max(0, len(self._buffer) + 1 - len(_EVENT_END))
        self._buffer += data
        end = self._buffer.rfind(_EVENT_END, unsearched)
        if end < 0:
            self._chunks += 1
            return Read(b"", self._excess())
        end += len(_EVENT_END)
        complete = bytes(self._buffer[:end])
        del self._buffer[:end]
        self._chunks = 0
        if not self._has_memory():
            return Read(b"", _NO_MEMORY)
        passed = []
        for event in complete.split(_EVENT_END)[:-1]:
            event_id = _event_id(event)
            if event_id is not None:
                if self._last_id is not None and event_id <= self._last_id:
                    return Read(
                        b"".join(passed),
                        f"event {event_id} after event {self._last_id}",
                    )
                self._last_id = event_id
            passed.append(event + _EVENT_END)
            self.passed += 1
        return Read(b"".join(passed), "")

    def _excess(self) -> str:
        """Returns which limit the incomplete event exceeds, or ""."""
        if len(self._buffer) > MAX_EVENT_BYTES:
            return f"event exceeds {MAX_EVENT_BYTES} bytes"
        if self._chunks > MAX_EVENT_CHUNKS:
            return f"event exceeds {MAX_EVENT_CHUNKS} chunks"
        return "" if self._has_memory() else _NO_MEMORY

    def _has_memory(self) -> bool:
        """Reserves the memory of the incomplete event, if there is any."""
        memory = self._memory
        return memory is None or memory.resize(len(self._buffer))

    def end(self) -> str:
        """Handles the end of the stream; returns an error, or ""."""
        return "stream ended inside an event" if self._buffer.strip() else ""


def _event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            return digits.parse(line[3:].strip(), _MAX_ID_DIGITS)
    return None
