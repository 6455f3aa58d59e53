"""Bodies of answers that are collected as a whole."""

import io

from azureline.util import memory_budget

# Limit of a body that is collected.
MAX_BODY_BYTES = 4 << 20
# Failure reason for a body over this limit or without room in memory.
TOO_LARGE = "answer: too large"
# Failure reason for a body in too many small parts.
TOO_MANY_PARTS = "answer: too many small parts"
# A body may come in this many parts of any size; beyond them, its parts need
# this mean size. Each part costs time, however small.
MAX_SMALL_PARTS = 4096
MIN_MEAN_PART_BYTES = 64


def has_too_many_parts(parts: int, size: int) -> bool:
    """Returns whether a body has too many parts for its size in bytes."""
    return parts > MAX_SMALL_PARTS + size // MIN_MEAN_PART_BYTES


class Body:
    """Collects the body of one answer, up to `MAX_BODY_BYTES`."""

    def __init__(self, reservation: memory_budget.Reservation | None = None):
        """Creates an empty body.

        Args:
          reservation: memory that grows with the body, which `release` gives
            back; None if it is not counted.
        """
        self._reservation = reservation
        # A buffer, as a list of small parts takes many times their size.
        self._data = io.BytesIO()
        self._parts = 0

    def add(self, data: bytes) -> str:
        """Adds a part; returns why the body exceeds a limit, or ""."""
        self._parts += 1
        excess = self._excess(data)
        if excess:
            self.release()
        else:
            self._data.write(data)
        return excess

    def _excess(self, data: bytes) -> str:
        size = self._data.tell() + len(data)
        if has_too_many_parts(self._parts, size):
            return TOO_MANY_PARTS
        if size > MAX_BODY_BYTES:
            return TOO_LARGE
        if self._reservation is None or self._reservation.grow(len(data)):
            return ""
        return TOO_LARGE

    def release(self) -> None:
        """Drops the body and gives its memory back."""
        self._data = io.BytesIO()
        if self._reservation is not None:
            self._reservation.release()

    def hand_over(self) -> memory_budget.Reservation | None:
        """Returns the memory of the body, which the receiver has to release."""
        memory, self._reservation = self._reservation, None
        return memory

    def content(self) -> bytes:
        """Returns the collected body."""
        return self._data.getvalue()
