"""Budget for the bytes that requests hold together in a process."""

import collections

# Bytes of each reservation that do not count, so that what is small has room
# beside what is large.
FREE_BYTES = 16 << 10


class MemoryBudget:
    """Counts bytes in use against a limit."""

    def __init__(self, limit_bytes: int, peer_share: float = 1.0):
        """Creates an unused budget.

        Args:
          limit_bytes: bytes that may be reserved.
          peer_share: share of them, from 0 to 1, that a single peer's
            reservations may have together.
        """
        self._limit_bytes = limit_bytes
        self._peer_limit_bytes = int(limit_bytes * peer_share)
        self._used_bytes = 0
        self._used_by: collections.Counter[str] = collections.Counter()

    @property
    def used_bytes(self) -> int:
        """Bytes that are reserved."""
        return self._used_bytes

    def has_room(self, size: int) -> bool:
        """Returns whether a reservation of this many bytes fits now."""
        return self._fits(max(0, size - FREE_BYTES))

    def reserve(self, peer: str = "") -> "Reservation":
        """Returns a reservation of no bytes, which can grow.

        Args:
          peer: the peer whose bytes are held.
        """
        return Reservation(self, peer)

    def _fits(self, size: int) -> bool:
        return self._used_bytes + size <= self._limit_bytes

    def _take(self, size: int, peer: str) -> bool:
        if not self._fits(size):
            return False
        if self._used_by[peer] + size > self._peer_limit_bytes:
            return False
        self._used_bytes += size
        self._used_by[peer] += size
        return True

    def _give_back(self, size: int, peer: str) -> None:
        self._used_bytes -= size
        self._used_by[peer] -= size
        if not self._used_by[peer]:
            del self._used_by[peer]


class Reservation:
    """Bytes of a budget that one owner holds until it releases them."""

    def __init__(self, budget: MemoryBudget, peer: str = ""):
        """Creates a reservation of no bytes."""
        self._budget = budget
        self._peer = peer
        self._size = 0
        self._counted = 0

    def grow(self, size: int) -> bool:
        """Reserves more bytes; returns False if the budget has no room."""
        added = max(0, self._size + size - FREE_BYTES) - self._counted
        if not self._budget._take(added, self._peer):
            return False
        self._size += size
        self._counted += added
        return True

    def resize(self, size: int) -> bool:
        """Changes the size; returns False if the budget has no room."""
        if size > self._size:
            return self.grow(size - self._size)
        counted = max(0, size - FREE_BYTES)
        self._budget._give_back(self._counted - counted, self._peer)
        self._size, self._counted = size, counted
        return True

    def release(self) -> None:
        """Gives all bytes back; further calls have no effect."""
        self._budget._give_back(self._counted, self._peer)
        self._size = self._counted = 0
