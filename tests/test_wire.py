"""Tests of the wire codec."""

from typing import NamedTuple

from hypothesis import given
from hypothesis import strategies as st
import msgpack
import pytest

from azureline.core import wire


class _Point(NamedTuple):
    x: int
    label: str


class _Line(NamedTuple):
    ends: tuple[_Point, ...]
    tag: bytes


class _LaterPoint(NamedTuple):
    x: int
    label: str
    age_ms: int = 0


_CODEC = wire.Codec({1: _Point, 2: _Line})


def test_nested_messages_round_trip():
    line = _Line((_Point(1, "a"), _Point(2, "b")), b"\x00")
    assert _CODEC.unpack(_CODEC.pack(line)) == line


def test_a_message_of_an_earlier_version_lacks_only_later_fields():
    later = wire.Codec({1: _LaterPoint})
    earlier = _CODEC.pack(_Point(1, "a"))
    assert later.unpack(earlier) == _LaterPoint(1, "a", 0)
    for fields in ([1, 1], [1, 1, "a", 5, 6]):
        with pytest.raises(wire.MalformedError):
            later.unpack(msgpack.packb(fields))
    with pytest.raises(wire.MalformedError):
        _CODEC.unpack(later.pack(_LaterPoint(1, "a", 5)))


@given(st.binary(max_size=200))
def test_arbitrary_bytes_unpack_or_raise_malformed_error(data):
    try:
        message = _CODEC.unpack(data)
    except wire.MalformedError:
        return
    assert isinstance(message, (_Point, _Line))


@given(st.lists(st.binary(max_size=50), max_size=8), st.integers(1, 7))
def test_frames_are_reassembled_from_any_split(payloads, step):
    stream = b"".join(wire.frame(p) for p in payloads)
    decoder = wire.FrameDecoder()
    received = []
    for start in range(0, len(stream), step):
        received += decoder.feed(stream[start : start + step])
    assert received == payloads


def test_a_frame_length_over_the_limit_is_malformed():
    with pytest.raises(wire.MalformedError):
        wire.FrameDecoder(max_bytes=10).feed(b"\x00\x00\x00\x0b")
