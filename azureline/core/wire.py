"""Encodes typed messages as length-prefixed msgpack frames.

Each message is a `NamedTuple` class that is registered with a `Codec` under a
small number.  A frame is a 4-byte big-endian length followed by a msgpack array
of this number and the fields.  A field is of a msgpack type, an enum, a nested
registered tuple or a sequence of these.  Fields with defaults are those that
were added later; processes of an earlier version don't send them.
"""

import enum
import struct
from typing import Any

import msgpack

MAX_FRAME_BYTES = 1 << 20
# Levels of messages within messages. msgpack calls back for each, and its
# recursion in C has no limit.
MAX_NESTING = 8
_LENGTH = struct.Struct(">I")
_EXT_MESSAGE = 1
# Types of fields that are checked when a message is unpacked.
_CHECKED: dict[Any, Any] = {
    int: int,
    float: (int, float),
    str: str,
    bytes: bytes,
    bool: bool,
}


class MalformedError(ValueError):
    """The input is not a valid message."""


class Codec:
    """Packs and unpacks registered `NamedTuple` classes."""

    def __init__(self, messages: dict[int, type]):
        """Creates a codec.

        Args:
          messages: the classes by their number on the wire; a number must
            never be reused for another class.
        """
        self._by_number = dict(messages)
        self._by_class = {cls: num for num, cls in messages.items()}
        # Messages that contain the one that is being unpacked.
        self._nesting = 0

    def pack(self, message: Any) -> bytes:
        """Returns the msgpack form of a registered message."""
        return msgpack.packb(
            self._to_array(message),
            default=self._pack_default,
            strict_types=True,
        )

    def unpack(self, data: bytes) -> Any:
        """Returns the message packed in `data`.

        Args:
          data: the bytes that `pack` returned.

        Raises:
          MalformedError: if `data` is not a message of a registered class.
        """
        try:
            fields = msgpack.unpackb(
                data,
                use_list=False,
                ext_hook=self._unpack_ext,
                max_ext_len=len(data),
            )
        except (ValueError, TypeError, msgpack.exceptions.StackError) as e:
            raise MalformedError(f"not msgpack: {e}") from None
        return self._from_array(fields)

    def _to_array(self, message: Any) -> list[Any]:
        number = self._by_class[type(message)]
        return [number, *message]

    def _pack_default(self, value: Any) -> Any:
        if isinstance(value, enum.Enum):
            return value.value
        if type(value) in self._by_class:
            return msgpack.ExtType(_EXT_MESSAGE, self.pack(value))
        if isinstance(value, tuple):
            return list(value)
        raise TypeError(f"cannot pack {type(value).__name__}")

    def _unpack_ext(self, code: int, data: bytes) -> Any:
        if code != _EXT_MESSAGE:
            raise MalformedError(
                f"expected extension type {_EXT_MESSAGE}, got {code}"
            )
        if self._nesting >= MAX_NESTING:
            raise MalformedError(f"over {MAX_NESTING} levels of messages")
        self._nesting += 1
        try:
            return self.unpack(data)
        finally:
            self._nesting -= 1

    def _from_array(self, fields: Any) -> Any:
        if not isinstance(fields, tuple) or not fields:
            found = type(fields).__name__
            raise MalformedError(f"expected a non-empty array, got {found}")
        is_number = isinstance(fields[0], int)
        cls = self._by_number.get(fields[0]) if is_number else None
        if cls is None:
            raise MalformedError(f"unknown message number {fields[0]!r}")
        missing = len(cls._fields) - (len(fields) - 1)
        if not 0 <= missing <= len(cls._field_defaults):
            raise MalformedError(
                f"{cls.__name__}: expected {len(cls._fields)} fields, "
                f"got {len(fields) - 1}"
            )
        for name, value in zip(cls._fields, fields[1:], strict=False):
            expected = _CHECKED.get(cls.__annotations__.get(name))
            if expected is not None and not isinstance(value, expected):
                raise MalformedError(
                    f"{cls.__name__}.{name}: got {type(value).__name__}"
                )
        return cls(*fields[1:])


def frame(payload: bytes) -> bytes:
    """Returns the payload prefixed with its length.

    Raises:
      MalformedError: if the payload exceeds `MAX_FRAME_BYTES`.
    """
    if len(payload) > MAX_FRAME_BYTES:
        raise MalformedError(
            f"frame of {len(payload)} bytes exceeds {MAX_FRAME_BYTES} bytes"
        )
    return _LENGTH.pack(len(payload)) + payload


class FrameDecoder:
    """Splits a byte stream into frame payloads."""

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES):
        self._buffer = bytearray()
        self._max_bytes = max_bytes

    def feed(self, data: bytes) -> list[bytes]:
        """Adds received bytes and returns the payloads that they complete.

        Raises:
          MalformedError: if a frame's length exceeds `max_bytes`.
        """
        self._buffer += data
        payloads = []
        while len(self._buffer) >= _LENGTH.size:
            (size,) = _LENGTH.unpack_from(self._buffer)
            if size > self._max_bytes:
                raise MalformedError(
                    f"frame of {size} bytes exceeds {self._max_bytes} bytes"
                )
            end = _LENGTH.size + size
            if len(self._buffer) < end:
                break
            payloads.append(bytes(self._buffer[_LENGTH.size : end]))
            del self._buffer[:end]
        return payloads
