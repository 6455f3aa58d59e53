"""The values that a slot's log consists of.

A page takes the newest entries and is rewritten with each batch until it is
full.  A chunk holds the entries of many full pages, the last state of each
key only.  Both say who wrote them, so that a writer whose answer was lost can
tell its own write from another's.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import enum
import struct
from typing import NamedTuple

import msgpack

DIGEST_BYTES = 8
BODY_BYTES = 4
MAX_ATTEMPT = 63

_PACKED = struct.Struct(">8s4sIBB")
ENTRY_BYTES = _PACKED.size
_ISSUED = slice(DIGEST_BYTES + BODY_BYTES, DIGEST_BYTES + BODY_BYTES + 4)
_PAGE = 1
_CHUNK = 2
_FIELDS = 8


class MalformedError(ValueError):
    """Raised for a value that is no page or chunk."""


class State(enum.IntEnum):
    """What the log knows about a key."""

    INTENT = 0
    RAN = 1
    DID_NOT_RUN = 2


class Entry(NamedTuple):
    """One key in the log.

    Attributes:
      digest: 8-byte digest of caller and key.
      body: first 4 bytes of the digest of the request's content.
      issued_s: the key's own time, seconds since the Unix epoch.
      state: what is known.
      attempt: number of the latest grant, from 1.
    """

    digest: bytes
    body: bytes
    issued_s: int
    state: State
    attempt: int


class Stamp(NamedTuple):
    """Identity of one write.

    Attributes:
      epoch: epoch of the writing owner.
      writer: identity of the owner's process.
      batch: counts the writes of that process to this slot.
    """

    epoch: int
    writer: str
    batch: int


class Page(NamedTuple):
    """A page of the log.

    Attributes:
      sequence: number of the page, from 0.
      closed: whether the next entries go to the next page.
      stamp: identity of the last write.
      floor_s: keys issued before this time may have been dropped.
      entries: in the order in which they were written.
    """

    sequence: int
    closed: bool
    stamp: Stamp
    floor_s: int
    entries: tuple[Entry, ...]


class Chunk(NamedTuple):
    """The last state of each key in a run of pages.

    Attributes:
      number: number of the chunk, from 0.
      last_page: sequence number of the last page that it covers.
      stamp: identity of the last write.
      floor_s: keys issued before this time have been left out.
      packed: one entry for each key, in their fixed-size form.
    """

    number: int
    last_page: int
    stamp: Stamp
    floor_s: int
    packed: bytes

    @property
    def entries(self) -> Iterator[Entry]:
        """The entries, unpacked one by one."""
        for digest, body, issued_s, state, attempt in _iterate(self.packed):
            yield Entry(digest, body, issued_s, State(state), attempt)

    @property
    def newest_s(self) -> int:
        """Time of the newest key, or -1 if there is none."""
        return max((fields[2] for fields in _iterate(self.packed)), default=-1)


def later(first: Entry | None, second: Entry) -> Entry:
    """Returns the later state of a key, in whichever order they are given.

    A key that ran stays so; else a higher attempt is later, and the outcome
    of an attempt is later than its intent.
    """
    if first is None:
        return second
    return max(first, second, key=_rank)


def _rank(entry: Entry) -> tuple[bool, int, bool]:
    ran = entry.state is State.RAN
    return ran, entry.attempt, entry.state is not State.INTENT


def pack_entry(entry: Entry) -> bytes:
    """Returns the fixed-size form of an entry."""
    return _PACKED.pack(*entry)


def unpack_entry(data: bytes) -> Entry:
    """Returns the entry in its fixed-size form.

    Raises:
      MalformedError: if `data` is no entry.
    """
    try:
        digest, body, issued_s, state, attempt = _PACKED.unpack(data)
        return Entry(digest, body, issued_s, State(state), attempt)
    except (struct.error, ValueError) as e:
        raise MalformedError(f"bad entry: {e}") from None


def issued_s(data: bytes) -> int:
    """Returns the key's time of an entry in its fixed-size form."""
    return int.from_bytes(data[_ISSUED], "big")


def split(packed: bytes) -> dict[bytes, bytes]:
    """Returns entries in their fixed-size form by digest."""
    return {
        packed[i : i + DIGEST_BYTES]: packed[i : i + ENTRY_BYTES]
        for i in range(0, len(packed), ENTRY_BYTES)
    }


def pack_entries(entries: Iterable[Entry]) -> bytes:
    """Returns entries in their fixed-size form, one after another."""
    return b"".join(_PACKED.pack(*entry) for entry in entries)


def pack(value: Page | Chunk) -> bytes:
    """Returns the bytes of a page or chunk."""
    number, extent, stamp, floor_s, packed = value
    kind = _CHUNK
    if isinstance(value, Page):
        kind = _PAGE
        packed = pack_entries(value.entries)
    return msgpack.packb([kind, number, extent, *stamp, floor_s, packed])


def unpack(data: bytes) -> Page | Chunk:
    """Returns the page or chunk in `data`.

    Raises:
      MalformedError: if `data` is neither.
    """
    try:
        fields = msgpack.unpackb(data)
    except (ValueError, TypeError, msgpack.exceptions.StackError) as e:
        raise MalformedError(f"not msgpack: {e}") from None
    if not isinstance(fields, list) or len(fields) != _FIELDS:
        raise MalformedError("not a page")
    kind, number, extent, epoch, writer, batch, floor_s, packed = fields
    if kind not in (_PAGE, _CHUNK) or not isinstance(packed, bytes):
        raise MalformedError("not a page")
    if len(packed) % ENTRY_BYTES:
        raise MalformedError("an entry is cut short")
    if any(fields[3] > max(State) for fields in _iterate(packed)):
        raise MalformedError("unknown state")
    chunk = Chunk(number, extent, Stamp(epoch, writer, batch), floor_s, packed)
    if kind == _CHUNK:
        return chunk
    return Page(number, extent, chunk.stamp, floor_s, tuple(chunk.entries))


def _iterate(packed: bytes) -> Iterator[tuple[bytes, bytes, int, int, int]]:
    return _PACKED.iter_unpack(packed)
