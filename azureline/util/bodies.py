"""Bodies of answers that are collected as a whole."""

import io

from azureline.util import memory_budget

# Limit of a body that is collected.
MAX_BODY_BYTES = 4 << 20
# Failure reason for a body over this limit or without room in memory.
TOO_LARGE = "answer: too large"


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

    def add(self, data: bytes) -> bool:
        """Adds a part; returns False if there is no room for it."""
        fits = self._data.tell() + len(data) <= MAX_BODY_BYTES
        if fits and self._reservation is not None:
            fits = self._reservation.grow(len(data))
        if not fits:
            self.release()
            return False
        self._data.write(data)
        return True

    def release(self) -> None:
        """Drops the body and gives its memory back."""
        self._data = io.BytesIO()
        if self._reservation is not None:
            self._reservation.release()

    def content(self) -> bytes:
        """Returns the collected body."""
        return self._data.getvalue()
