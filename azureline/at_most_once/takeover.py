"""Takeover of a slot's log: fences the old owner and loads its entries.

The takeover scans the pages for the newest one and seals the page that the
old owner would write next with the new owner's epoch.  After that no page
write of an earlier owner succeeds.  The takeover then reads the chunks and
those pages that may have changed since the scan.
"""

import collections
from collections.abc import Iterable
import enum
import random

from azureline.at_most_once import cas_write
from azureline.at_most_once import effects
from azureline.at_most_once import key as key_lib
from azureline.at_most_once import log
from azureline.at_most_once import page
from azureline.at_most_once import table as table_lib
from azureline.platform import interface

MAX_READS = 16
READ_RETRY_MAX_S = 1.0


class _Phase(enum.Enum):
    SCAN = "scan"
    SEAL = "seal"
    LOAD = "load"
    DONE = "done"


class Takeover:
    """Seals and loads the log of one slot."""

    def __init__(
        self,
        slot: int,
        epoch: int,
        writer: str,
        rng: random.Random,
        table: table_lib.Table,
        wall_offset: float,
        layout: log.Layout = log.LAYOUT,
    ):
        """Creates a takeover that has not started.

        Args:
          slot: number of the slot.
          epoch: the new owner's epoch.
          writer: identity of the new owner, unique for each owner.
          rng: source of jitter.
          table: receives the entries that have not expired.
          wall_offset: wall clock minus monotonic clock, in seconds.
          layout: ring sizes and thresholds of the log.
        """
        self._table = table
        self._wall_offset = wall_offset
        self._layout = layout
        self._slot = slot
        self._epoch = epoch
        self._writer = writer
        self._rng = rng
        self._phase = _Phase.SCAN
        self._keys_to_read: collections.deque[str] = collections.deque()
        self._reads_in_flight: set[str] = set()
        self._versions: dict[str, int] = {}
        self._parsed: dict[str, page.Page | page.Chunk | None] = {}
        self._write = cas_write.CasWrite(rng)
        self._batch = 0
        self._sealed: page.Page | None = None
        self._retry_reads_at = 0.0
        self._damaged = False
        self._page_keys = [log.page_key(slot, i) for i in range(layout.pages)]
        self._chunk_keys = [
            log.chunk_key(slot, i) for i in range(layout.chunks)
        ]

    @property
    def done(self) -> bool:
        """Whether `finish` may be called."""
        return self._phase is _Phase.DONE

    def start(self, now: float) -> list[effects.Effect]:
        """Starts to scan the pages."""
        return self._read(now, self._page_keys)

    def tick(self, now: float) -> list[effects.Effect]:
        """Repeats failed reads and writes that are due."""
        return self._issue_reads(now) + self._write.retry(now)

    def wake_at(self) -> float:
        """Returns the monotonic time at which `tick` must be called."""
        can_issue = (
            self._keys_to_read and len(self._reads_in_flight) < MAX_READS
        )
        retry_reads_at = self._retry_reads_at if can_issue else float("inf")
        return min(retry_reads_at, self._write.retry_at)

    def read_result(
        self,
        now: float,
        key: str,
        result: interface.Entry | None | interface.Unavailable,
    ) -> list[effects.Effect]:
        """Handles the result of a read."""
        self._reads_in_flight.discard(key)
        if isinstance(result, interface.Unavailable):
            self._keys_to_read.append(key)
            self._retry_reads_at = now + self._rng.uniform(0, READ_RETRY_MAX_S)
            return []
        self._store_result(key, result)
        if self._keys_to_read or self._reads_in_flight:
            return self._issue_reads(now)
        if self._phase is _Phase.SCAN:
            return self._seal(now)
        self._phase = _Phase.DONE
        return []

    def write_result(
        self,
        now: float,
        result: interface.Entry | interface.Conflict | interface.Unavailable,
    ) -> list[effects.Effect]:
        """Handles the result of the sealing write."""
        key = self._write.key
        match self._write.handle_result(now, result):
            case cas_write.Stored(version):
                self._versions[key] = version
                self._parsed[key] = self._sealed
                return self._load(now)
            case cas_write.StoredByOther():
                # The old owner wrote first: seal the page after its write.
                self._store_result(key, result.current)
                return self._seal(now)
        return []

    def finish(self, now: float) -> log.RecoveredLog:
        """Adds the pages that are not compacted to the table; returns the log.

        If pages or chunks are missing or malformed, their keys may have run.
        The expiry floor is then raised above every key that can be valid, so
        that no such key is taken for new.
        """
        pages = self._pages()
        chunks, stale = self._chunks()
        head = self._sealed
        floor_s = head.floor_s
        compacted = chunks[-1].last_page if chunks else -1
        needed = range(compacted + 1, head.sequence + 1)
        gap = any(sequence not in pages for sequence in needed)
        if gap or not self._has_all_chunks(chunks, stale):
            self._damaged = True
        if self._damaged:
            floor_s = max(floor_s, self._floor_above_all_keys(now))
            self._table.clear()
        uncompacted = [pages[s] for s in needed if s in pages]
        for value in uncompacted:
            for entry in value.entries:
                if entry.issued_s >= floor_s:
                    self._table.put(entry)
        ring = self._layout.chunks
        redundant = {c.number % ring for c in stale}
        return log.RecoveredLog(
            head,
            [self._versions.get(key, 0) for key in self._page_keys],
            {p.sequence: p.entries for p in uncompacted if p.closed},
            chunks[-1] if chunks else None,
            [self._slice(i, i in redundant) for i in range(ring)],
            floor_s,
            self._batch,
        )

    def _store_result(self, key: str, result: interface.Entry | None) -> None:
        """Stores a parsed value; entries of chunks go to the table at once."""
        value = cas_write.parse(result)
        self._damaged |= result is not None and value is None
        self._versions[key] = result.version if result else 0
        self._parsed[key] = value
        if self._phase is _Phase.LOAD and isinstance(value, page.Chunk):
            self._table.load(value.packed, self._sealed.floor_s)

    def _read(self, now: float, keys: Iterable[str]) -> list[effects.Effect]:
        self._keys_to_read.extend(keys)
        return self._issue_reads(now)

    def _issue_reads(self, now: float) -> list[effects.Effect]:
        reads: list[effects.Effect] = []
        if now < self._retry_reads_at:
            return reads
        while self._keys_to_read and len(self._reads_in_flight) < MAX_READS:
            key = self._keys_to_read.popleft()
            self._reads_in_flight.add(key)
            reads.append(effects.Read(key))
        return reads

    def _seal(self, now: float) -> list[effects.Effect]:
        self._phase = _Phase.SEAL
        head = max(
            self._pages().values(), key=lambda p: p.sequence, default=None
        )
        if head is not None and self._is_successor(head.stamp):
            return [effects.Deposed(head.stamp.epoch)]
        self._batch += 1
        stamp = page.WriteId(self._epoch, self._writer, self._batch)
        if head is None:
            head = page.Page(0, False, stamp, 0, ())
        elif head.closed:
            head = page.Page(head.sequence + 1, False, stamp, head.floor_s, ())
        if self._damaged:
            # The seal may overwrite the damaged value.  The raised floor in the
            # seal still expires its keys if the next owner finds no damage.
            floor_s = max(head.floor_s, self._floor_above_all_keys(now))
            head = head._replace(floor_s=floor_s)
        self._sealed = head._replace(stamp=stamp)
        key = self._page_keys[head.sequence % self._layout.pages]
        version = self._versions.get(key, 0)
        return [self._write.start(now, key, self._sealed, version)]

    def _floor_above_all_keys(self, now: float) -> int:
        return int(now + self._wall_offset + key_lib.MAX_FUTURE_S)

    def _load(self, now: float) -> list[effects.Effect]:
        self._phase = _Phase.LOAD
        head = self._sealed.sequence
        pages = self._pages()
        stale = []
        for sequence in range(max(0, head + 1 - self._layout.pages), head):
            known = pages.get(sequence)
            if known is None or not known.closed:
                stale.append(self._page_keys[sequence % self._layout.pages])
        return self._read(now, [*stale, *self._chunk_keys])

    def _is_successor(self, stamp: page.WriteId) -> bool:
        if stamp.epoch == self._epoch:
            return stamp.writer != self._writer
        return stamp.epoch > self._epoch

    def _pages(self) -> dict[int, page.Page]:
        values = [self._parsed.get(key) for key in self._page_keys]
        return {p.sequence: p for p in values if isinstance(p, page.Page)}

    def _chunks(self) -> tuple[list[page.Chunk], list[page.Chunk]]:
        """Returns the valid chunks in order of number, and the stale ones.

        A delayed write of a deposed owner can add a stale chunk.  It covers
        no page that a chunk with a lower number does not cover.
        """
        values = [self._parsed.get(key) for key in self._chunk_keys]
        chunks: list[page.Chunk] = []
        stale: list[page.Chunk] = []
        for chunk in sorted(c for c in values if isinstance(c, page.Chunk)):
            is_stale = chunks and chunk.last_page <= chunks[-1].last_page
            (stale if is_stale else chunks).append(chunk)
        return chunks, stale

    def _has_all_chunks(
        self, chunks: list[page.Chunk], stale: list[page.Chunk]
    ) -> bool:
        if not chunks:
            return True
        ring = self._layout.chunks
        last = chunks[-1].number
        numbers = {c.number for c in chunks}
        numbers |= {c.number - ring for c in stale}
        return numbers.issuperset(range(max(0, last + 1 - ring), last + 1))

    def _slice(self, index: int, redundant: bool) -> log.ChunkIndex:
        key = self._chunk_keys[index]
        chunk = self._parsed.get(key)
        version = self._versions.get(key, 0)
        if redundant or not isinstance(chunk, page.Chunk):
            return log.ChunkIndex(version, -1)
        return log.ChunkIndex(version, chunk.newest_s)
