"""A store of versioned facts that spread from node to node.

Each fact is passed on a number of times that grows with the logarithm of the
fleet, which reaches every node with high probability (Demers et al.,
"Epidemic algorithms for replicated database maintenance", PODC 1987).  What
is missed is found by comparing digests of buckets.
"""

import hashlib
import math
from typing import NamedTuple

from azureline.fleet import messages

BUCKETS = 128
MIN_SPREAD = 4
HURRIED_FACTOR = 3
MAX_RUMOUR_BYTES = 1200
_BUCKET_BYTES = 4
_DIGEST_BYTES = 8
_OVERHEAD_BYTES = 16
_EXPIRE_INTERVAL_S = 1.0


class _Held(NamedTuple):
    rumour: messages.Rumour
    expires_at: float


class RumourStore:
    """Holds the newest version of each fact and what is yet to be passed on."""

    def __init__(self, hurried: tuple[str, ...] = ()):
        """Creates an empty store.

        Args:
          hurried: prefixes of keys that are passed on more often, because
            they are rare and must be everywhere within seconds.
        """
        self._hurried = hurried
        self._held: dict[str, _Held] = {}
        self._sent: dict[str, int] = {}
        # Digests are kept as integers, since adding to one is then one XOR.
        self._buckets = [0] * BUCKETS
        self._total = 0
        self._next_expiry = 0.0

    @property
    def digest(self) -> bytes:
        """A digest of all keys and versions held."""
        return self._total.to_bytes(_DIGEST_BYTES, "big")

    @property
    def buckets(self) -> bytes:
        """The digests of all buckets, one after the other."""
        mask = (1 << 8 * _BUCKET_BYTES) - 1
        return b"".join(
            (b & mask).to_bytes(_BUCKET_BYTES, "big") for b in self._buckets
        )

    def __len__(self) -> int:
        return len(self._held)

    def get(self, key: str) -> messages.Rumour | None:
        """Returns the newest rumour of a key, or None."""
        held = self._held.get(key)
        return held.rumour if held else None

    def with_prefix(self, prefix: str) -> list[messages.Rumour]:
        """Returns the rumours whose keys start with `prefix`."""
        return [h.rumour for k, h in self._held.items() if k.startswith(prefix)]

    def merge(self, now: float, rumour: messages.Rumour) -> bool:
        """Takes a rumour if it is newer than what is held.

        Args:
          now: monotonic time in seconds.
          rumour: what was heard or is being said.

        Returns:
          Whether the rumour was news.
        """
        held = self._held.get(rumour.key)
        if held is not None and held.rumour.version >= rumour.version:
            return False
        if held is not None:
            self._flip(held.rumour)
        expires_at = now + rumour.ttl_s if rumour.ttl_s else math.inf
        self._held[rumour.key] = _Held(rumour, expires_at)
        self._flip(rumour)
        self._sent[rumour.key] = 0
        return True

    def expire(self, now: float) -> list[messages.Rumour]:
        """Forgets the rumours whose time is over and returns them."""
        if now < self._next_expiry:
            return []
        self._next_expiry = now + _EXPIRE_INTERVAL_S
        over = [h.rumour for h in self._held.values() if h.expires_at <= now]
        for rumour in over:
            self._flip(rumour)
            del self._held[rumour.key]
            self._sent.pop(rumour.key, None)
        return over

    def news(
        self, now: float, fleet_size: int, max_bytes: int
    ) -> tuple[messages.Rumour, ...]:
        """Picks rumours to pass on, those passed on least often first.

        Args:
          now: monotonic time in seconds.
          fleet_size: number of nodes that are to hear of them.
          max_bytes: bound on the picked rumours together; one that alone
            exceeds it is picked alone, if it fits a datagram.
        """
        limit = spread_limit(fleet_size)
        picked = []
        room = max_bytes
        for key in sorted(self._sent, key=self._turn):
            rumour = self._aged(now, key)
            size = len(rumour.key) + len(rumour.value) + _OVERHEAD_BYTES
            alone = not picked and size <= MAX_RUMOUR_BYTES
            if size > room and not alone:
                continue
            room -= size
            picked.append(rumour)
            self._sent[key] += 1
            factor = HURRIED_FACTOR if self._is_hurried(key) else 1
            if self._sent[key] >= limit * factor:
                del self._sent[key]
        return tuple(picked)

    def differing(
        self, now: float, buckets: bytes
    ) -> tuple[messages.Rumour, ...]:
        """Returns the rumours in buckets that differ from a peer's digests.

        Args:
          now: monotonic time in seconds.
          buckets: what the peer's `buckets` returned; b"" for all rumours.
        """
        mine = self.buckets
        wanted = set(range(BUCKETS))
        if len(buckets) == len(mine):
            wanted = {
                i // _BUCKET_BYTES
                for i in range(len(mine))
                if mine[i] != buckets[i]
            }
        return tuple(
            self._aged(now, key) for key in self._held if _bucket(key) in wanted
        )

    def _is_hurried(self, key: str) -> bool:
        return key.startswith(self._hurried)

    def _turn(self, key: str) -> tuple[bool, int]:
        """Orders rumours: hurried ones first, then those sent least often.

        After a mass restart hundreds of rumours about members are new at once.
        """
        return not self._is_hurried(key), self._sent[key]

    def _aged(self, now: float, key: str) -> messages.Rumour:
        held = self._held[key]
        if not held.rumour.ttl_s:
            return held.rumour
        remaining = max(1, math.ceil(held.expires_at - now))
        return held.rumour._replace(ttl_s=remaining)

    def _flip(self, rumour: messages.Rumour) -> None:
        text = f"{rumour.key}\0{rumour.epoch}\0{rumour.sequence}".encode()
        digest = hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
        mark = int.from_bytes(digest, "big")
        self._buckets[_bucket(rumour.key)] ^= mark
        self._total ^= mark


def spread_limit(fleet_size: int) -> int:
    """Returns how often one node passes a rumour on."""
    return max(MIN_SPREAD, math.ceil(math.log2(fleet_size + 2)))


def _bucket(key: str) -> int:
    return hashlib.blake2b(key.encode(), digest_size=1).digest()[0] % BUCKETS
