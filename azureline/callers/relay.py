"""Callers' connections whose requests are relayed byte for byte."""

from collections.abc import Callable
import json
from typing import Any
from typing import Protocol

from twisted.internet import protocol
from twisted.web import http

from azureline.callers import memory_body
from azureline.core import errors
from azureline.util import http1
from azureline.util import http_service

# Bytes of an answer that wait for a slow caller before its connection ends.
MAX_UNSENT_BYTES = 1 << 20


class Handler(Protocol):
    """What serves the requests."""

    def handle(self, received: "Received") -> None:
        """Serves a request that was read whole."""

    def body_bound(self) -> int:
        """Returns the bytes that a body may have."""

    def closing(self) -> bool:
        """Returns whether connections end after their present answer."""


class Received(memory_body.MemoryBody, http.Request):
    """A request that was read, and the way to answer it."""

    # Set by `factory`.
    handler: Handler
    defaultContentType = None  # noqa: N815

    def __init__(self, *args: Any, **kwargs: Any):
        """Creates a request; see `twisted.web.http.Request`."""
        super().__init__(*args, **kwargs)
        self.gone = False
        self.begun = False
        self._ended = False
        self._on_gone: Callable[[], None] | None = None

    def requestReceived(self, command, path, version):  # noqa: D102, N802
        # Neither form fields nor cookies are parsed: bytes pass unchanged.
        self.method, self.uri, self.clientproto = command, path, version
        self.content.seek(0, 0)
        self.process()

    def process(self) -> None:
        """Hands the request to the handler."""
        if self._too_large:
            self.refuse(
                errors.Refusal(errors.ErrorKind.BODY_TOO_LARGE, "Too large.")
            )
            return
        self.handler.handle(self)

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: D102, N802
        super().connectionLost(reason)
        self.gone = True
        self._ended = True
        if self._on_gone is not None:
            self._on_gone()

    def body_bound(self) -> int:
        """Returns the bytes that a body may have."""
        return self.handler.body_bound()

    def received_headers(self) -> list[tuple[bytes, bytes]]:
        """Returns all headers as they came."""
        return [
            (name, value)
            for name, values in self.requestHeaders.getAllRawHeaders()
            for value in values
        ]

    def on_gone(self, tell: Callable[[], None]) -> None:
        """Tells when the caller has closed the connection."""
        self._on_gone = tell

    def head(self, status: int, reason: bytes, headers: http1.Headers) -> None:
        """Begins an answer."""
        if self._ended:
            return
        self.begun = True
        self.setResponseCode(status, reason or None)
        for name, value in headers:
            self.responseHeaders.addRawHeader(name, value)
        self._maybe_close()

    def part(self, data: bytes) -> None:
        """Sends a part of the answer's body."""
        if self._ended:
            return
        self.write(data)
        unsent = getattr(self.channel.transport, "dataBuffer", b"")
        if len(unsent) > MAX_UNSENT_BYTES:
            self.abort()

    def whole(self) -> None:
        """Ends the answer as complete."""
        if self._ended:
            return
        self._ended = True
        self.finish()

    def abort(self) -> None:
        """Ends the connection, so that the answer is visibly cut."""
        if self._ended:
            return
        self._ended = True
        self.channel.loseConnection()

    def refuse(self, refusal: errors.Refusal) -> None:
        """Answers with a refusal; the connection goes on."""
        if self._ended:
            return
        answer = refusal.answer
        body = json.dumps(
            {
                "status": answer.status,
                "title": answer.title,
                "detail": refusal.detail,
                "kind": refusal.kind.value,
            }
        ).encode()
        self.begun = True
        self.setResponseCode(answer.status)
        self.setHeader(b"content-type", b"application/problem+json")
        self.setHeader(b"content-length", b"%d" % len(body))
        if answer.retry_after_s is not None:
            self.setHeader(
                b"retry-after", f"{answer.retry_after_s:.2f}".encode()
            )
        self._maybe_close()
        self.write(body)
        self.whole()

    def _maybe_close(self) -> None:
        if self.handler.closing():
            self.setHeader(b"connection", b"close")
            self.channel.persistent = False


def factory(handler: Handler, idle_s: float) -> http_service.Factory:
    """Returns a factory of callers' connections.

    Args:
      handler: serves the requests.
      idle_s: seconds that a connection may stay idle.
    """
    request = type("Request", (Received,), {"handler": handler})
    return http_service.Factory(request, idle_s)


class _Readiness(http.Request):
    ready: Callable[[], bool]

    def process(self) -> None:
        """Answers whether the node shall get new connections."""
        self.setResponseCode(200 if type(self).ready() else 503)
        self.setHeader(b"content-length", b"0")
        self.finish()


def readiness(ready: Callable[[], bool]) -> http_service.Factory:
    """Returns a factory for the balancer's questions.

    Args:
      ready: whether the node shall get new connections.
    """
    return http_service.Factory(
        type("Request", (_Readiness,), {"ready": staticmethod(ready)})
    )
