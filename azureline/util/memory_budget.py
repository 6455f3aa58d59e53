"""Budget for the bytes that requests hold together in a process."""


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
        """Returns whether this many bytes could be reserved now."""
        return self._used_bytes + size <= self._limit_bytes

    def reserve(self) -> "Reservation":
        """Returns a reservation of no bytes, which can grow."""
        return Reservation(self)

    def _take(self, size: int) -> bool:
        if not self.has_room(size):
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

    def grow(self, size: int) -> bool:
        """Reserves more bytes; returns False if the budget has no room."""
        if not self._budget._take(size):
            return False
        self._size += size
        return True

    def release(self) -> None:
        """Gives all bytes back; further calls have no effect."""
        self._budget._give_back(self._size)
        self._size = 0
