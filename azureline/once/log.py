"""The log of a slot: a ring of pages, folded into a ring of chunks.

At any time there is just one place and version that the next entries can be
written to: the newest page while it is open, else the index after it.  Who
writes there first with compare-and-swap has shut out all others.  A page is
closed only when the index after it may be overwritten.
"""

import random
from typing import NamedTuple

from azureline.once import cell
from azureline.once import effects
from azureline.once import page
from azureline.platform import interface


class Layout(NamedTuple):
    """Sizes of a log; they are part of its format.

    Attributes:
      pages: size of the ring of pages.
      chunks: size of the ring of chunks.
      page_entries: entries from which a page is closed.
      max_page_entries: entries from which a page that cannot be closed takes
        no more.
      fold_pages: closed pages from which they are folded.
      chunk_entries: bound on the entries of a chunk.
    """

    pages: int = 64
    chunks: int = 80
    page_entries: int = 16
    max_page_entries: int = 512
    fold_pages: int = 40
    chunk_entries: int = 3_600


LAYOUT = Layout()


class Slice(NamedTuple):
    """What is known of one index of the chunk ring.

    Attributes:
      version: version of its key.
      newest_s: time of the newest key in it; all older ones have expired
        once the floor is past it.
    """

    version: int
    newest_s: int


class Recovered(NamedTuple):
    """The log as a new owner found it.

    Attributes:
      head: the newest page, which the owner has sealed.
      versions: version of each index of the page ring.
      pages: entries of the pages that are not folded yet, by sequence.
      chunk: the newest chunk, or None.
      slices: the indices of the chunk ring.
      floor_s: keys issued before it may have been dropped.
      batch: number of the owner's last write.
    """

    head: page.Page
    versions: list[int]
    pages: dict[int, tuple[page.Entry, ...]]
    chunk: page.Chunk | None
    slices: list[Slice]
    floor_s: int
    batch: int


def page_key(slot: int, index: int) -> str:
    """Returns the key of a page."""
    return f"once/{slot}/page/{index}"


def chunk_key(slot: int, index: int) -> str:
    """Returns the key of a chunk."""
    return f"once/{slot}/chunk/{index}"


def is_chunk(key: str) -> bool:
    """Whether a key is that of a chunk."""
    return "/chunk/" in key


class Log:
    """The writing side of a log that this owner has sealed."""

    def __init__(
        self,
        slot: int,
        epoch: int,
        writer: str,
        rng: random.Random,
        recovered: Recovered,
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
        self._closed = recovered.pages
        self._chunk = recovered.chunk
        self._slices = recovered.slices
        self._floor_s = recovered.floor_s
        self._page_cell = cell.Cell(rng)
        self._chunk_cell = cell.Cell(rng)
        self._written: page.Page | None = None
        self._folding: page.Chunk | None = None

    @property
    def floor_s(self) -> int:
        """The floor in the last page that is known to be durable."""
        return self._floor_s

    @property
    def busy(self) -> bool:
        """Whether a page is being written."""
        return self._page_cell.busy

    @property
    def full(self) -> bool:
        """Whether no page can take entries until something is folded."""
        following = self._sequence + 1 - self._layout.pages
        overgrown = len(self._entries) >= self._layout.max_page_entries
        return overgrown and following in self._closed

    def age(self, now: float) -> float:
        """Returns for how long the present page write is not settled."""
        return self._page_cell.age(now)

    def append(
        self, now: float, entries: list[page.Entry], floor_s: int
    ) -> list[effects.Effect]:
        """Writes a batch of entries, in which a key may occur twice."""
        merged = {
            d: e for d, e in self._entries.items() if e.issued_s >= floor_s
        }
        for entry in entries:
            known = merged.get(entry.digest)
            merged[entry.digest] = page.later(known, entry)
        following = self._sequence + 1 - self._layout.pages
        closed = (
            len(merged) >= self._layout.page_entries
            and following not in self._closed
        )
        self._written = page.Page(
            self._sequence,
            closed,
            self._stamp(),
            max(floor_s, self._floor_s),
            tuple(merged.values()),
        )
        index = self._sequence % self._layout.pages
        key = page_key(self._slot, index)
        version = self._versions[index]
        return [self._page_cell.start(now, key, self._written, version)]

    def page_result(
        self,
        now: float,
        result: interface.Entry | interface.Conflict | interface.Unavailable,
    ) -> cell.Landed | cell.Foreign | cell.Unsettled:
        """Takes the result of writing a page."""
        settled = self._page_cell.settle(now, result)
        if isinstance(settled, cell.Landed):
            self._landed(settled.version)
        return settled

    def fold(self, now: float) -> list[effects.Effect]:
        """Begins to fold the closed pages if there are enough of them."""
        few = len(self._closed) < self._layout.fold_pages
        if few or self._chunk_cell.busy:
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
        """Takes the result of writing a chunk.

        A deposed owner's chunk may land late.  It holds nothing that the
        pages do not hold, so it is overwritten.
        """
        settled = self._chunk_cell.settle(now, result)
        chunk = self._folding
        index = chunk.number % self._layout.chunks
        match settled:
            case cell.Landed(version):
                self._slices[index] = Slice(version, chunk.newest_s)
                self._chunk = chunk
                for sequence in list(self._closed):
                    if sequence <= chunk.last_page:
                        del self._closed[sequence]
            case cell.Foreign(found, version):
                if found is not None and found.stamp.epoch > self._epoch:
                    return [effects.Deposed(found.stamp.epoch)]
                self._slices[index] = self._slices[index]._replace(
                    version=version
                )
                return self._write_chunk(now, chunk)
        return []

    def retry(self, now: float) -> list[effects.Effect]:
        """Repeats the writes whose fate is open."""
        return self._page_cell.retry(now) + self._chunk_cell.retry(now)

    def wake_at(self) -> float:
        """Returns when `retry` has something to do."""
        return min(self._page_cell.retry_at, self._chunk_cell.retry_at)

    def _stamp(self) -> page.Stamp:
        self._batch += 1
        return page.Stamp(self._epoch, self._writer, self._batch)

    def _landed(self, version: int) -> None:
        written = self._written
        self._versions[written.sequence % self._layout.pages] = version
        self._floor_s = written.floor_s
        self._entries = {e.digest: e for e in written.entries}
        if written.closed:
            self._closed[written.sequence] = written.entries
            self._sequence += 1
            self._entries = {}

    def _next_chunk(self) -> page.Chunk | None:
        number = self._chunk.number if self._chunk else 0
        merged = self._merge(self._chunk.packed if self._chunk else b"")
        if self._chunk and len(merged) > self._layout.chunk_entries:
            number += 1
            following = self._slices[number % self._layout.chunks]
            if following.newest_s >= self._floor_s:
                return None
            merged = self._merge(b"")
        return page.Chunk(
            number,
            max(self._closed),
            self._stamp(),
            self._floor_s,
            b"".join(merged.values()),
        )

    def _merge(self, base: bytes) -> dict[bytes, bytes]:
        """Adds the closed pages to packed entries, without expired ones."""
        merged = page.split(base)
        for sequence in sorted(self._closed):
            for entry in self._closed[sequence]:
                known = merged.get(entry.digest)
                if known is not None:
                    entry = page.later(page.unpack_entry(known), entry)
                merged[entry.digest] = page.pack_entry(entry)
        floor_s = self._floor_s
        return {d: e for d, e in merged.items() if page.issued_s(e) >= floor_s}

    def _write_chunk(
        self, now: float, chunk: page.Chunk
    ) -> list[effects.Effect]:
        index = chunk.number % self._layout.chunks
        self._folding = chunk
        key = chunk_key(self._slot, index)
        version = self._slices[index].version
        return [self._chunk_cell.start(now, key, chunk, version)]
