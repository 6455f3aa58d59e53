"""Sends requests to a `twisted.web` site in memory, without sockets."""

import json
from typing import Any
from typing import NamedTuple

from twisted.internet import address
from twisted.internet import testing
from twisted.web import server

from azureline.util import turns
from tests import builders_http1


class Response(NamedTuple):
    """A parsed answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> Any:
        """The body as JSON."""
        return json.loads(self.body)


class Connection:
    """One caller's connection to a site."""

    def __init__(self, site: server.Site):
        # An idle timeout would leave a pending timer in the reactor.
        site.timeOut = None
        # Turns are made at once, as the reactor does not run.
        self._reactor = builders_http1.TurnReactor()
        site.turns = turns.Turns(self._reactor)
        peer = address.IPv4Address("TCP", "127.0.0.1", 1)
        self._protocol = site.buildProtocol(peer)
        self._transport = testing.StringTransport()
        self._protocol.makeConnection(self._transport)

    def send(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> None:
        """Sends one request."""
        lines = [f"{method} {path} HTTP/1.1", "Host: azureline"]
        lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
        lines += [f"Content-Length: {len(body)}", "", ""]
        self._protocol.dataReceived("\r\n".join(lines).encode() + body)
        while self._reactor.calls:
            self._reactor.turn()

    def response(self) -> Response:
        """Parses the part of the answer that has been received so far."""
        head, _, body = self._transport.value().partition(b"\r\n\r\n")
        status, *lines = head.decode().split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines)
        if headers.get("Transfer-Encoding") == "chunked":
            body = _unchunk(body)
        return Response(int(status.split()[1]), headers, body)

    def close(self) -> None:
        """Closes the connection."""
        self._protocol.connectionLost(testing.failure.Failure(OSError()))


def request(site: server.Site, *args: Any, **kwargs: Any) -> Response:
    """Sends one request on a new connection and returns its answer."""
    connection = Connection(site)
    connection.send(*args, **kwargs)
    return connection.response()


def _unchunk(data: bytes) -> bytes:
    body = b""
    while data:
        size, _, rest = data.partition(b"\r\n")
        length = int(size, 16)
        body += rest[:length]
        data = rest[length + 2 :]
    return body
