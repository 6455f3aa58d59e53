"""Answers without an end, which a faulty backend server sends.

The bytes go on until the other side closes the connection.
"""

import random
from typing import Any
from typing import NamedTuple

from twisted.internet import task
from twisted.web import server

from standins import common

# A caller that reads slowly slows the server down.
_MAX_UNSENT_BYTES = 1 << 18
_WRITE_INTERVAL_S = 0.005
_BLOCK_BYTES = 1 << 16


class EndlessFault(NamedTuple):
    """Sends answers without an end.

    Attributes:
      share: share of the requests that get such an answer, from 0 to 1.
      place: part of the answer that does not end; see `_bytes`.
      chunk_bytes: size of each chunk, where the place has chunks.
    """

    share: float = 1.0
    place: str = "body"
    chunk_bytes: int = 1


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


_STATUS = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


def _bytes(
    fault: EndlessFault, headers: tuple[tuple[str, str], ...]
) -> tuple[bytes, bytes]:
    """Returns how an answer begins, and what follows again and again."""
    names = b"".join(f"{n}: {v}\r\n".encode() for n, v in headers)
    head = _STATUS + names
    part = _chunk(b"x" * fault.chunk_bytes)
    match fault.place:
        case "body" | "event":
            return head + _CHUNKED, part
        case "events":
            return head + _CHUNKED, _chunk(b"x\n\n")
        case "unchunked":
            return head + b"\r\n", b"x"
        case "head":
            return head, b"a:\r\n"
        case "interim":
            return b"", b"HTTP/1.1 103 Early\r\n" + b"a:\r\n" * 999 + b"\r\n"
        case "chunk_size":
            return head + _CHUNKED, b"0"
        case "extension":
            return head + _CHUNKED + b"1;", b"x"
        case "trailers":
            return head + _CHUNKED + b"0\r\n", b"a:\r\n"
    raise ValueError(f"unknown place {fault.place}")


class EndlessAnswers:
    """Answers a share of a server's requests without an end.

    Attributes:
      fault: what does not end; None while all answers are sound.
    """

    def __init__(self, reactor: Any):
        """Creates a sender that sends no such answer yet."""
        self.fault: EndlessFault | None = None
        self._reactor = reactor
        self._rng = random.Random(1)

    def takes(self) -> bool:
        """Returns whether the next answer has no end."""
        return self.fault is not None and self._rng.random() < self.fault.share

    async def send(
        self, request: server.Request, headers: tuple[tuple[str, str], ...]
    ) -> None:
        """Answers a request without an end, as fast as the other side reads.

        Args:
          request: the request.
          headers: headers of the answer.
        """
        assert self.fault is not None
        transport = request.channel.transport
        start, again = _bytes(self.fault, headers)
        transport.write(start)
        block = again * (_BLOCK_BYTES // len(again))
        while common.is_open(request):
            unsent = len(transport.dataBuffer) + transport._tempDataLen
            if unsent < _MAX_UNSENT_BYTES:
                transport.write(block)
            await task.deferLater(self._reactor, _WRITE_INTERVAL_S)
