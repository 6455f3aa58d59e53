"""Stored values of a slot's log: pages and chunks, and their encoding.

A page receives the newest entries and is rewritten with each batch until it
is closed.  A chunk holds the last state of each key in many closed pages.
Both carry a stamp of their writer.  After a write whose answer was lost, the
stamp shows whether the stored value is the writer's own.
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

_ENTRY_STRUCT = struct.Struct(">8s4sIBB")
ENTRY_BYTES = _ENTRY_STRUCT.size
_ISSUED_SLICE = slice(DIGEST_BYTES + BODY_BYTES, DIGEST_BYTES + BODY_BYTES + 4)
_PAGE_KIND = 1
_CHUNK_KIND = 2
_FIELD_COUNT = 8


class MalformedError(ValueError):
    """Raised for a value that is not a valid page, chunk or entry."""


class State(enum.IntEnum):
    """Last known state of a key.

    Attributes:
      INTENT: the attempt may have been granted; its outcome is not known.
      RAN: the request ran.
      DID_NOT_RUN: the latest attempt did not run; the key may be granted
        again.
    """

    INTENT = 0
    RAN = 1
    DID_NOT_RUN = 2


class Entry(NamedTuple):
    """State of one key in the log.

    Attributes:
      digest: 8-byte digest of caller and key.
      content_prefix: first 4 bytes of the digest of the request's content.
      issued_s: issue time of the key, in Unix seconds.
      state: last known state of the key.
      attempt: number of the latest grant, from 1.
    """

    digest: bytes
    content_prefix: bytes
    issued_s: int
    state: State
    attempt: int


class WriteId(NamedTuple):
    """Identity of one write.

    Attributes:
      epoch: epoch of the writing owner.
      writer: identity of the owner's process.
      batch: number of the write, counted by the owner for each slot.
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
      floor_s: expiry floor in Unix seconds; keys issued before it may have
        been dropped.
      entries: the entries, ordered by the first write of their key.
    """

    sequence: int
    closed: bool
    stamp: WriteId
    floor_s: int
    entries: tuple[Entry, ...]


class Chunk(NamedTuple):
    """Last state of each key in consecutive pages.

    Attributes:
      number: number of the chunk, from 0.
      last_page: sequence number of the last page that the chunk covers.
      stamp: identity of the last write.
      floor_s: expiry floor in Unix seconds; keys issued before it are omitted.
      packed: one entry for each key, concatenated in the fixed-size form.
    """

    number: int
    last_page: int
    stamp: WriteId
    floor_s: int
    packed: bytes

    @property
    def entries(self) -> Iterator[Entry]:
        """The entries, unpacked one by one."""
        for digest, content_prefix, issued_s, state, attempt in _unpack_fields(
            self.packed
        ):
            yield Entry(digest, content_prefix, issued_s, State(state), attempt)

    @property
    def newest_s(self) -> int:
        """Issue time of the newest key in Unix seconds, or -1 if empty."""
        return max(
            (fields[2] for fields in _unpack_fields(self.packed)), default=-1
        )


def latest_state(first: Entry | None, second: Entry) -> Entry:
    """Returns the later of two states of a key; the argument order is free.

    RAN is always the latest state.  Otherwise a higher attempt is later, and
    the outcome of an attempt is later than its intent.
    """
    if first is None:
        return second
    return max(first, second, key=_rank)


def _rank(entry: Entry) -> tuple[bool, int, bool]:
    ran = entry.state is State.RAN
    return ran, entry.attempt, entry.state is not State.INTENT


def pack_entry(entry: Entry) -> bytes:
    """Returns the fixed-size form of an entry."""
    return _ENTRY_STRUCT.pack(*entry)


def unpack_entry(data: bytes) -> Entry:
    """Returns the entry that `data` holds in its fixed-size form.

    Raises:
      MalformedError: if `data` is not a valid entry.
    """
    try:
        digest, content_prefix, issued_s, state, attempt = _ENTRY_STRUCT.unpack(
            data
        )
        return Entry(digest, content_prefix, issued_s, State(state), attempt)
    except (struct.error, ValueError) as e:
        raise MalformedError(
            f"invalid entry of {len(data)} bytes: {e}"
        ) from None


def issued_s(data: bytes) -> int:
    """Returns the issue time of a packed entry's key, in Unix seconds."""
    return int.from_bytes(data[_ISSUED_SLICE], "big")


def split_entries(packed: bytes) -> dict[bytes, bytes]:
    """Returns the packed entries by digest."""
    return {
        packed[i : i + DIGEST_BYTES]: packed[i : i + ENTRY_BYTES]
        for i in range(0, len(packed), ENTRY_BYTES)
    }


def pack_entries(entries: Iterable[Entry]) -> bytes:
    """Returns the concatenated entries in their fixed-size form."""
    return b"".join(_ENTRY_STRUCT.pack(*entry) for entry in entries)


def pack(value: Page | Chunk) -> bytes:
    """Returns the stored form of a page or chunk."""
    number, extent, stamp, floor_s, packed = value
    kind = _CHUNK_KIND
    if isinstance(value, Page):
        kind = _PAGE_KIND
        packed = pack_entries(value.entries)
    return msgpack.packb([kind, number, extent, *stamp, floor_s, packed])


def unpack(data: bytes) -> Page | Chunk:
    """Returns the page or chunk that `data` holds.

    Raises:
      MalformedError: if `data` is not a valid page or chunk.
    """
    try:
        fields = msgpack.unpackb(data)
    except (ValueError, TypeError, msgpack.exceptions.StackError) as e:
        raise MalformedError(f"not msgpack: {e}") from None
    if not isinstance(fields, list) or len(fields) != _FIELD_COUNT:
        raise MalformedError(
            f"expected a list of {_FIELD_COUNT} fields, "
            f"got {type(fields).__name__}"
        )
    kind, number, extent, epoch, writer, batch, floor_s, packed = fields
    if kind not in (_PAGE_KIND, _CHUNK_KIND) or not isinstance(packed, bytes):
        raise MalformedError(
            f"expected kind {_PAGE_KIND} or {_CHUNK_KIND} and packed entries, "
            f"got {type(kind).__name__} and {type(packed).__name__}"
        )
    if len(packed) % ENTRY_BYTES:
        raise MalformedError(
            f"truncated entry: {len(packed)} bytes are not a multiple of "
            f"{ENTRY_BYTES}"
        )
    if any(fields[3] > max(State) for fields in _unpack_fields(packed)):
        raise MalformedError(f"unknown state: expected at most {max(State)}")
    chunk = Chunk(
        number, extent, WriteId(epoch, writer, batch), floor_s, packed
    )
    if kind == _CHUNK_KIND:
        return chunk
    return Page(number, extent, chunk.stamp, floor_s, tuple(chunk.entries))


def _unpack_fields(
    packed: bytes,
) -> Iterator[tuple[bytes, bytes, int, int, int]]:
    return _ENTRY_STRUCT.iter_unpack(packed)
