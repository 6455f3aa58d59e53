"""Whole events of a stream, in order, each once."""

from typing import NamedTuple

_END = b"\n\n"
MAX_EVENT_BYTES = 1 << 20


class Read(NamedTuple):
    """What a chunk of bytes came to.

    Attributes:
      pieces: whole events to pass on.
      fault: why the stream must not be read any more, or "".
    """

    pieces: bytes
    fault: str


class EventReader:
    """Splits bytes into events and lets those through that are new."""

    def __init__(self, last_event: str):
        """Creates a reader.

        Args:
          last_event: id of the last event that the caller has, or "".
        """
        self._last = int(last_event) if last_event.isdigit() else None
        self._buffer = b""
        self.passed = 0

    @property
    def last_event(self) -> str:
        """Id of the last event that was passed on, or ""."""
        return "" if self._last is None else str(self._last)

    def restart(self) -> None:
        """Begins to read another connection of the same stream."""
        self._buffer = b""

    def feed(self, data: bytes) -> Read:
        """Takes bytes and returns the whole events among them."""
        self._buffer += data
        end = self._buffer.rfind(_END)
        if end < 0:
            if len(self._buffer) > MAX_EVENT_BYTES:
                return Read(b"", "event too large")
            return Read(b"", "")
        whole = self._buffer[: end + len(_END)]
        self._buffer = self._buffer[end + len(_END) :]
        passed = []
        for event in whole.split(_END)[:-1]:
            number = _id_of(event)
            if number is not None:
                if self._last is not None and number <= self._last:
                    return Read(b"".join(passed), f"event {number} again")
                self._last = number
            passed.append(event + _END)
            self.passed += 1
        return Read(b"".join(passed), "")

    def end(self) -> str:
        """Learns that the stream has ended; returns what is wrong, or ""."""
        return "ended inside an event" if self._buffer.strip() else ""


def _id_of(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            value = line[3:].strip()
            return int(value) if value.isdigit() else None
    return None
