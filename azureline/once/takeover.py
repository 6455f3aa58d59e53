"""How a new owner shuts out the old one and learns what it wrote.

First the pages are scanned for the newest; then the place of the next write
is sealed with this owner's epoch, after which no write of an earlier owner
can succeed.  Only then are the pages that may have changed, and the chunks,
read for good.
"""

import collections
from collections.abc import Iterable
import enum
import random

from azureline.once import cell
from azureline.once import effects
from azureline.once import key as key_lib
from azureline.once import log
from azureline.once import page
from azureline.once import table as table_lib
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
        """Creates a takeover that has read nothing yet.

        Args:
          slot: number of the slot.
          epoch: the new owner's epoch.
          writer: identity of the new owner.
          rng: source of jitter.
          table: receives the entries that have not expired.
          wall_offset: wall time less monotonic time, in seconds.
          layout: sizes of the log.
        """
        self._table = table
        self._wall_offset = wall_offset
        self._layout = layout
        self._slot = slot
        self._epoch = epoch
        self._writer = writer
        self._rng = rng
        self._phase = _Phase.SCAN
        self._todo: collections.deque[str] = collections.deque()
        self._reading: set[str] = set()
        self._versions: dict[str, int] = {}
        self._parsed: dict[str, page.Page | page.Chunk | None] = {}
        self._cell = cell.Cell(rng)
        self._batch = 0
        self._sealed: page.Page | None = None
        self._resume_at = 0.0
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
        """Begins to scan the pages."""
        return self._read(now, self._page_keys)

    def tick(self, now: float) -> list[effects.Effect]:
        """Repeats what has failed."""
        return self._pump(now) + self._cell.retry(now)

    def wake_at(self) -> float:
        """Returns when `tick` has something to do."""
        waiting = self._todo and len(self._reading) < MAX_READS
        pause = self._resume_at if waiting else float("inf")
        return min(pause, self._cell.retry_at)

    def read_result(
        self,
        now: float,
        key: str,
        result: interface.Entry | None | interface.Unavailable,
    ) -> list[effects.Effect]:
        """Takes the result of a read."""
        self._reading.discard(key)
        if isinstance(result, interface.Unavailable):
            self._todo.append(key)
            self._resume_at = now + self._rng.uniform(0, READ_RETRY_MAX_S)
            return []
        self._keep(key, result)
        if self._todo or self._reading:
            return self._pump(now)
        if self._phase is _Phase.SCAN:
            return self._seal(now)
        self._phase = _Phase.DONE
        return []

    def write_result(
        self,
        now: float,
        result: interface.Entry | interface.Conflict | interface.Unavailable,
    ) -> list[effects.Effect]:
        """Takes the result of the sealing write."""
        key = self._cell.key
        match self._cell.settle(now, result):
            case cell.Landed(version):
                self._versions[key] = version
                self._parsed[key] = self._sealed
                return self._load(now)
            case cell.Foreign():
                # The old owner is still writing: follow it.
                self._keep(key, result.current)
                return self._seal(now)
        return []

    def finish(self, now: float) -> log.Recovered:
        """Fills the table with the newest pages and returns the log.

        A gap in the log means that it is not known what ran.  The floor then
        rises above every key that can exist, so that none is taken for new.
        """
        pages = self._pages()
        chunks, stale = self._chunks()
        head = self._sealed
        floor_s = head.floor_s
        folded = chunks[-1].last_page if chunks else -1
        needed = range(folded + 1, head.sequence + 1)
        gap = any(sequence not in pages for sequence in needed)
        if gap or not self._contiguous(chunks, stale):
            self._damaged = True
        if self._damaged:
            floor_s = max(floor_s, self._floor_above_all(now))
            self._table.clear()
        unfolded = [pages[s] for s in needed if s in pages]
        for value in unfolded:
            for entry in value.entries:
                if entry.issued_s >= floor_s:
                    self._table.put(entry)
        ring = self._layout.chunks
        redundant = {c.number % ring for c in stale}
        return log.Recovered(
            head,
            [self._versions.get(key, 0) for key in self._page_keys],
            {p.sequence: p.entries for p in unfolded if p.closed},
            chunks[-1] if chunks else None,
            [self._slice(i, i in redundant) for i in range(ring)],
            floor_s,
            self._batch,
        )

    def _keep(self, key: str, result: interface.Entry | None) -> None:
        """Keeps what was read; entries of chunks go to the table at once."""
        value = cell.parse(result)
        self._damaged |= result is not None and value is None
        self._versions[key] = result.version if result else 0
        self._parsed[key] = value
        if self._phase is _Phase.LOAD and isinstance(value, page.Chunk):
            self._table.load(value.packed, self._sealed.floor_s)

    def _read(self, now: float, keys: Iterable[str]) -> list[effects.Effect]:
        self._todo.extend(keys)
        return self._pump(now)

    def _pump(self, now: float) -> list[effects.Effect]:
        reads: list[effects.Effect] = []
        if now < self._resume_at:
            return reads
        while self._todo and len(self._reading) < MAX_READS:
            key = self._todo.popleft()
            self._reading.add(key)
            reads.append(effects.Read(key))
        return reads

    def _seal(self, now: float) -> list[effects.Effect]:
        self._phase = _Phase.SEAL
        head = max(
            self._pages().values(), key=lambda p: p.sequence, default=None
        )
        if head is not None and self._foreign(head.stamp):
            return [effects.Deposed(head.stamp.epoch)]
        self._batch += 1
        stamp = page.Stamp(self._epoch, self._writer, self._batch)
        if head is None:
            head = page.Page(0, False, stamp, 0, ())
        elif head.closed:
            head = page.Page(head.sequence + 1, False, stamp, head.floor_s, ())
        if self._damaged:
            # The seal may overwrite the only trace of the damage.
            floor_s = max(head.floor_s, self._floor_above_all(now))
            head = head._replace(floor_s=floor_s)
        self._sealed = head._replace(stamp=stamp)
        key = self._page_keys[head.sequence % self._layout.pages]
        version = self._versions.get(key, 0)
        return [self._cell.start(now, key, self._sealed, version)]

    def _floor_above_all(self, now: float) -> int:
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

    def _foreign(self, stamp: page.Stamp) -> bool:
        if stamp.epoch == self._epoch:
            return stamp.writer != self._writer
        return stamp.epoch > self._epoch

    def _pages(self) -> dict[int, page.Page]:
        found = [self._parsed.get(key) for key in self._page_keys]
        return {p.sequence: p for p in found if isinstance(p, page.Page)}

    def _chunks(self) -> tuple[list[page.Chunk], list[page.Chunk]]:
        """Returns the chunks by number, and those of deposed owners.

        A deposed owner's chunk may have landed late.  It then covers no page
        that a chunk with a lower number does not cover.
        """
        found = [self._parsed.get(key) for key in self._chunk_keys]
        chunks: list[page.Chunk] = []
        stale: list[page.Chunk] = []
        for chunk in sorted(c for c in found if isinstance(c, page.Chunk)):
            late = chunks and chunk.last_page <= chunks[-1].last_page
            (stale if late else chunks).append(chunk)
        return chunks, stale

    def _contiguous(
        self, chunks: list[page.Chunk], stale: list[page.Chunk]
    ) -> bool:
        if not chunks:
            return True
        ring = self._layout.chunks
        last = chunks[-1].number
        numbers = {c.number for c in chunks}
        numbers |= {c.number - ring for c in stale}
        return numbers.issuperset(range(max(0, last + 1 - ring), last + 1))

    def _slice(self, index: int, redundant: bool) -> log.Slice:
        key = self._chunk_keys[index]
        chunk = self._parsed.get(key)
        version = self._versions.get(key, 0)
        if redundant or not isinstance(chunk, page.Chunk):
            return log.Slice(version, -1)
        return log.Slice(version, chunk.newest_s)
