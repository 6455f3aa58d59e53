"""Budget for the bytes that requests hold together in a process."""

# Bytes of each reservation that do not count, so that what is small has room
# beside what is large.
FREE_BYTES = 16 << 10


class MemoryBudget:
    """Counts bytes in use against a limit."""

    def __init__(self, limit_bytes: int):
        """Creates an unused budget."""
        self._limit_bytes = limit_bytes
        self._used_bytes = 0

    @property
    def used_bytes(self) -> int:
        """Bytes that are reserved."""
        return self._used_bytes

    def has_room(self, size: int) -> bool:
        """Returns whether a reservation of this many bytes fits now."""
        return self._fits(max(0, size - FREE_BYTES))

    def reserve(self) -> "Reservation":
        """Returns a reservation of no bytes, which can grow."""
        return Reservation(self)

    def _fits(self, size: int) -> bool:
        return self._used_bytes + size <= self._limit_bytes

    def _take(self, size: int) -> bool:
        if not self._fits(size):
            return False
        self._used_bytes += size
        return True

    def _give_back(self, size: int) -> None:
        self._used_bytes -= size


class Reservation:
    """Bytes of a budget that one owner holds until it releases them."""

    def __init__(self, budget: MemoryBudget):
        """Creates a reservation of no bytes."""
        self._budget = budget
        self._size = 0
        self._counted = 0

    def grow(self, size: int) -> bool:
        """Reserves more bytes; returns False if the budget has no room."""
        added = max(0, self._size + size - FREE_BYTES) - self._counted
        if not self._budget._take(added):
            return False
        self._size += size
        self._counted += added
        return True

    def release(self) -> None:
        """Gives all bytes back; further calls have no effect."""
        self._budget._give_back(self._counted)
        self._size = self._counted = 0
