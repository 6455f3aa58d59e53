"""Tests of the datagrams between nodes."""

import msgpack
import pytest

from azureline.core import wire
from azureline.nodes import datagrams
from azureline.nodes import messages


def test_a_deeply_nested_message_is_malformed():
    # One datagram ended the process: the recursion overflowed the C stack.
    data = msgpack.packb([1])
    for _ in range(230):
        data = msgpack.packb([1, msgpack.ExtType(1, data)])
    assert len(data) <= datagrams.MAX_DATAGRAM_BYTES
    codec = messages.codec()
    with pytest.raises(wire.MalformedError):
        codec.unpack(data)
    sent = messages.Hello(1, "n", "h", 1)
    assert codec.unpack(codec.pack(sent)) == sent
