"""Facts about Twisted's transports."""

from typing import Any


def unsent_bytes(transport: Any) -> int:
    """Returns the number of bytes that wait for a peer to read them."""
    # A transport moves what is written to `dataBuffer` only when the peer
    # reads; Twisted has no public way to tell how much there is.
    waiting = len(transport.dataBuffer) - transport.offset
    return waiting + transport._tempDataLen
