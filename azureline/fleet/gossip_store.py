"""A store of versioned gossip entries that spread from node to node.

Each node passes an entry on a number of times that grows with the logarithm of
the fleet size, so the entry reaches every node with high probability (Demers et
al., "Epidemic algorithms for replicated database maintenance", PODC 1987).
Nodes find entries that they missed by comparing digests of buckets.
"""

import hashlib
import math
from typing import NamedTuple

from azureline.fleet import messages

BUCKETS = 128
MIN_SENDS = 4
PRIORITY_SEND_FACTOR = 3
MAX_DATAGRAM_ENTRY_BYTES = 1200
_BUCKET_BYTES = 4
_DIGEST_BYTES = 8
_OVERHEAD_BYTES = 16
_EXPIRE_INTERVAL_S = 1.0


class _StoredEntry(NamedTuple):
    entry: messages.GossipEntry
    expires_at: float


class GossipStore:
    """Holds the newest version of each entry and which to pass on next."""

    def __init__(self, priority_prefixes: tuple[str, ...] = ()):
        """Creates an empty store.

        Args:
          priority_prefixes: key prefixes of entries that are passed on first
            and more often, because they are rare and must reach all nodes in
            seconds.
        """
        self._priority_prefixes = priority_prefixes
        self._entries: dict[str, _StoredEntry] = {}
        self._send_counts: dict[str, int] = {}
        # Digests are kept as integers, so that an update is a single XOR.
        self._buckets = [0] * BUCKETS
        self._digest = 0
        self._next_expiry = 0.0

    @property
    def digest(self) -> bytes:
        """The digest of all keys and versions in the store."""
        return self._digest.to_bytes(_DIGEST_BYTES, "big")

    @property
    def buckets(self) -> bytes:
        """The concatenated digests of all buckets."""
        mask = (1 << 8 * _BUCKET_BYTES) - 1
        return b"".join(
            (b & mask).to_bytes(_BUCKET_BYTES, "big") for b in self._buckets
        )

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, key: str) -> messages.GossipEntry | None:
        """Returns the newest entry of a key, or None."""
        stored = self._entries.get(key)
        return stored.entry if stored else None

    def with_prefix(self, prefix: str) -> list[messages.GossipEntry]:
        """Returns the entries whose keys start with `prefix`."""
        return [
            h.entry for k, h in self._entries.items() if k.startswith(prefix)
        ]

    def merge(self, now: float, entry: messages.GossipEntry) -> bool:
        """Stores an entry if it is newer than the stored one of its key.

        Args:
          now: monotonic time in seconds.
          entry: entry that this node received or publishes.

        Returns:
          Whether the entry was stored.
        """
        stored = self._entries.get(entry.key)
        if stored is not None and stored.entry.version >= entry.version:
            return False
        if stored is not None:
            self._toggle_in_digests(stored.entry)
        expires_at = now + entry.ttl_s if entry.ttl_s else math.inf
        self._entries[entry.key] = _StoredEntry(entry, expires_at)
        self._toggle_in_digests(entry)
        self._send_counts[entry.key] = 0
        return True

    def expire(self, now: float) -> list[messages.GossipEntry]:
        """Removes expired entries and returns them.

        It does so at most once per `_EXPIRE_INTERVAL_S`.
        """
        if now < self._next_expiry:
            return []
        self._next_expiry = now + _EXPIRE_INTERVAL_S
        expired = [
            h.entry for h in self._entries.values() if h.expires_at <= now
        ]
        for entry in expired:
            self._toggle_in_digests(entry)
            del self._entries[entry.key]
            self._send_counts.pop(entry.key, None)
        return expired

    def next_entries(
        self, now: float, fleet_size: int, max_bytes: int
    ) -> tuple[messages.GossipEntry, ...]:
        """Picks entries to pass on, those passed on least often first.

        Args:
          now: monotonic time in seconds.
          fleet_size: number of nodes that the entries must reach.
          max_bytes: maximum total size of the picked entries; an entry that
            alone exceeds it is picked on its own if it fits a datagram.
        """
        limit = max_sends(fleet_size)
        picked = []
        free_bytes = max_bytes
        for key in sorted(self._send_counts, key=self._send_order):
            entry = self._with_remaining_ttl(now, key)
            size = len(entry.key) + len(entry.value) + _OVERHEAD_BYTES
            fits_alone = not picked and size <= MAX_DATAGRAM_ENTRY_BYTES
            if size > free_bytes and not fits_alone:
                continue
            free_bytes -= size
            picked.append(entry)
            self._send_counts[key] += 1
            factor = PRIORITY_SEND_FACTOR if self._is_priority(key) else 1
            if self._send_counts[key] >= limit * factor:
                del self._send_counts[key]
        return tuple(picked)

    def differing(
        self, now: float, buckets: bytes
    ) -> tuple[messages.GossipEntry, ...]:
        """Returns the entries in buckets that differ from a peer's digests.

        Args:
          now: monotonic time in seconds.
          buckets: the peer's `buckets`; b"" for all entries.
        """
        own_buckets = self.buckets
        differing_buckets = set(range(BUCKETS))
        if len(buckets) == len(own_buckets):
            differing_buckets = {
                i // _BUCKET_BYTES
                for i in range(len(own_buckets))
                if own_buckets[i] != buckets[i]
            }
        return tuple(
            self._with_remaining_ttl(now, key)
            for key in self._entries
            if _bucket(key) in differing_buckets
        )

    def _is_priority(self, key: str) -> bool:
        return key.startswith(self._priority_prefixes)

    def _send_order(self, key: str) -> tuple[bool, int]:
        """Returns the sort key: priority entries first, then least sent ones.

        After a mass restart hundreds of member entries are new at once; without
        this order, priority entries would wait behind them.
        """
        return not self._is_priority(key), self._send_counts[key]

    def _with_remaining_ttl(self, now: float, key: str) -> messages.GossipEntry:
        stored = self._entries[key]
        if not stored.entry.ttl_s:
            return stored.entry
        remaining = max(1, math.ceil(stored.expires_at - now))
        return stored.entry._replace(ttl_s=remaining)

    def _toggle_in_digests(self, entry: messages.GossipEntry) -> None:
        text = f"{entry.key}\0{entry.epoch}\0{entry.sequence}".encode()
        digest = hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
        entry_digest = int.from_bytes(digest, "big")
        self._buckets[_bucket(entry.key)] ^= entry_digest
        self._digest ^= entry_digest


def max_sends(fleet_size: int) -> int:
    """Returns how many times one node passes an entry on."""
    return max(MIN_SENDS, math.ceil(math.log2(fleet_size + 2)))


def _bucket(key: str) -> int:
    return hashlib.blake2b(key.encode(), digest_size=1).digest()[0] % BUCKETS
