"""Log of a slot: a ring of pages, compacted into a ring of chunks.

At any time the next entries can be written to exactly one key and version:
the newest page while it is open, otherwise the page after it.  The first
compare-and-swap write to that key makes the writes of all other owners fail.
A page is closed only when the ring index after it may be overwritten.
"""

import random
from typing import NamedTuple

from azureline.at_most_once import cas_write
from azureline.at_most_once import effects
from azureline.at_most_once import page
from azureline.platform import interface


class Layout(NamedTuple):
    """Ring sizes and thresholds of a log.

    They are part of the stored format: all owners of a slot must use the same.

    Attributes:
      pages: number of pages in the ring.
      chunks: number of chunks in the ring.
      page_entries: number of entries at which a page is closed.
      max_page_entries: number of entries at which a page that cannot be
        closed accepts no more.
      compact_pages: number of closed pages at which they are compacted.
      chunk_entries: number of entries above which a new chunk is started.
    """

    pages: int = 64
    chunks: int = 80
    page_entries: int = 16
    max_page_entries: int = 512
    compact_pages: int = 40
    chunk_entries: int = 3_600


LAYOUT = Layout()


class ChunkIndex(NamedTuple):
    """Stored version and newest key of one index of the chunk ring.

    Attributes:
      version: version of the index's key in the key-value service.
      newest_s: issue time of the newest entry in the chunk, in Unix seconds;
        once the expiry floor is past it, the chunk may be overwritten.  -1 if
        the chunk is empty or redundant.
    """

    version: int
    newest_s: int


class RecoveredLog(NamedTuple):
    """State of the log after a takeover.

    Attributes:
      head: the newest page, which the new owner has sealed.
      versions: version of each index of the page ring.
      pages: entries of the closed pages not yet compacted, by sequence.
      chunk: the newest chunk, or None.
      slices: state of each index of the chunk ring.
      floor_s: expiry floor in Unix seconds; keys issued before it may have
        been dropped.
      batch: number of the owner's last write.
    """

    head: page.Page
    versions: list[int]
    pages: dict[int, tuple[page.Entry, ...]]
    chunk: page.Chunk | None
    slices: list[ChunkIndex]
    floor_s: int
    batch: int


def page_key(slot: int, index: int) -> str:
    """Returns the key of a page in the key-value service."""
    return f"once/{slot}/page/{index}"


def chunk_key(slot: int, index: int) -> str:
    """Returns the key of a chunk in the key-value service."""
    return f"once/{slot}/chunk/{index}"


def is_chunk(key: str) -> bool:
    """Returns whether a key of the key-value service is a chunk's."""
    return "/chunk/" in key


class Log:
    """Writer of a log that its owner has sealed."""

    def __init__(
        self,
        slot: int,
        epoch: int,
        writer: str,
        rng: random.Random,
        recovered: RecoveredLog,
        layout: Layout = LAYOUT,
    ):
        self._layout = layout
        self._slot = slot
        self._epoch = epoch
        self._writer = writer
        self._batch = recovered.batch
        self._sequence = recovered.head.sequence
        self._entries = {e.digest: e for e in recovered.head.entries}
        self._versions = recovered.versions
        self._closed_pages = recovered.pages
        self._chunk = recovered.chunk
        self._slices = recovered.slices
        self._floor_s = recovered.floor_s
        self._page_write = cas_write.CasWrite(rng)
        self._chunk_write = cas_write.CasWrite(rng)
        self._page_in_write: page.Page | None = None
        self._chunk_in_write: page.Chunk | None = None

    @property
    def floor_s(self) -> int:
        """Expiry floor of the last durable page, in Unix seconds."""
        return self._floor_s

    @property
    def busy(self) -> bool:
        """Whether a page write is in flight."""
        return self._page_write.busy

    @property
    def full(self) -> bool:
        """Whether no page accepts entries until closed pages are compacted."""
        next_in_ring = self._sequence + 1 - self._layout.pages
        head_full = len(self._entries) >= self._layout.max_page_entries
        return head_full and next_in_ring in self._closed_pages

    def age(self, now: float) -> float:
        """Returns the seconds since the unsettled page write began, or 0."""
        return self._page_write.age(now)

    def append(
        self, now: float, entries: list[page.Entry], floor_s: int
    ) -> list[effects.Effect]:
        """Writes a batch of entries, in which a key may occur twice.

        Args:
          now: monotonic time in seconds.
          entries: the entries to add to the current page.
          floor_s: expiry floor in Unix seconds; entries of the page with
            keys issued before it are dropped.
        """
        merged = {
            d: e for d, e in self._entries.items() if e.issued_s >= floor_s
        }
        for entry in entries:
            known = merged.get(entry.digest)
            merged[entry.digest] = page.latest_state(known, entry)
        next_in_ring = self._sequence + 1 - self._layout.pages
        closed = (
            len(merged) >= self._layout.page_entries
            and next_in_ring not in self._closed_pages
        )
        self._page_in_write = page.Page(
            self._sequence,
            closed,
            self._stamp(),
            max(floor_s, self._floor_s),
            tuple(merged.values()),
        )
        index = self._sequence % self._layout.pages
        key = page_key(self._slot, index)
        version = self._versions[index]
        return [self._page_write.start(now, key, self._page_in_write, version)]

    def page_result(
        self,
        now: float,
        result: interface.Entry | interface.Conflict | interface.Unavailable,
    ) -> cas_write.Stored | cas_write.StoredByOther | cas_write.ResultUnknown:
        """Handles the result of a page write."""
        settled = self._page_write.handle_result(now, result)
        if isinstance(settled, cas_write.Stored):
            self._apply_written_page(settled.version)
        return settled

    def compact(self, now: float) -> list[effects.Effect]:
        """Starts to compact the closed pages if there are enough of them."""
        too_few = len(self._closed_pages) < self._layout.compact_pages
        if too_few or self._chunk_write.busy:
            return []
        chunk = self._next_chunk()
        if chunk is None:
            return []
        return self._write_chunk(now, chunk)

    def chunk_result(
        self,
        now: float,
        result: interface.Entry | interface.Conflict | interface.Unavailable,
    ) -> list[effects.Effect]:
        """Handles the result of a chunk write.

        A delayed write of a deposed owner may store its chunk first.  All
        entries of that chunk are in the pages too, so it is overwritten.
        """
        settled = self._chunk_write.handle_result(now, result)
        chunk = self._chunk_in_write
        index = chunk.number % self._layout.chunks
        match settled:
            case cas_write.Stored(version):
                self._slices[index] = ChunkIndex(version, chunk.newest_s)
                self._chunk = chunk
                for sequence in list(self._closed_pages):
                    if sequence <= chunk.last_page:
                        del self._closed_pages[sequence]
            case cas_write.StoredByOther(found, version):
                if found is not None and found.stamp.epoch > self._epoch:
                    return [effects.Deposed(found.stamp.epoch)]
                self._slices[index] = self._slices[index]._replace(
                    version=version
                )
                return self._write_chunk(now, chunk)
        return []

    def retry(self, now: float) -> list[effects.Effect]:
        """Repeats the unsettled writes that are due."""
        return self._page_write.retry(now) + self._chunk_write.retry(now)

    def wake_at(self) -> float:
        """Returns the monotonic time at which `retry` must be called."""
        return min(self._page_write.retry_at, self._chunk_write.retry_at)

    def _stamp(self) -> page.WriteId:
        self._batch += 1
        return page.WriteId(self._epoch, self._writer, self._batch)

    def _apply_written_page(self, version: int) -> None:
        written = self._page_in_write
        self._versions[written.sequence % self._layout.pages] = version
        self._floor_s = written.floor_s
        self._entries = {e.digest: e for e in written.entries}
        if written.closed:
            self._closed_pages[written.sequence] = written.entries
            self._sequence += 1
            self._entries = {}

    def _next_chunk(self) -> page.Chunk | None:
        number = self._chunk.number if self._chunk else 0
        merged = self._merge_closed_pages(
            self._chunk.packed if self._chunk else b""
        )
        if self._chunk and len(merged) > self._layout.chunk_entries:
            number += 1
            next_in_ring = self._slices[number % self._layout.chunks]
            if next_in_ring.newest_s >= self._floor_s:
                return None
            merged = self._merge_closed_pages(b"")
        return page.Chunk(
            number,
            max(self._closed_pages),
            self._stamp(),
            self._floor_s,
            b"".join(merged.values()),
        )

    def _merge_closed_pages(self, base: bytes) -> dict[bytes, bytes]:
        """Returns packed entries merged with the closed pages, less expired."""
        merged = page.split_entries(base)
        for sequence in sorted(self._closed_pages):
            for entry in self._closed_pages[sequence]:
                known = merged.get(entry.digest)
                if known is not None:
                    entry = page.latest_state(page.unpack_entry(known), entry)
                merged[entry.digest] = page.pack_entry(entry)
        floor_s = self._floor_s
        return {d: e for d, e in merged.items() if page.issued_s(e) >= floor_s}

    def _write_chunk(
        self, now: float, chunk: page.Chunk
    ) -> list[effects.Effect]:
        index = chunk.number % self._layout.chunks
        self._chunk_in_write = chunk
        key = chunk_key(self._slot, index)
        version = self._slices[index].version
        return [self._chunk_write.start(now, key, chunk, version)]
