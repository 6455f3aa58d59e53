"""HTTP server for callers whose requests are relayed byte for byte."""

from collections.abc import Callable
import json
from typing import Any
from typing import Protocol

from twisted.internet import protocol
from twisted.internet import reactor
from twisted.web import http

from azureline.callers import unread
from azureline.core import errors
from azureline.util import http1
from azureline.util import http_service
from azureline.util import memory_body
from azureline.util import memory_budget
from azureline.util import transports

# A connection is dropped once more bytes than this wait for a slow caller.
MAX_UNSENT_BYTES = 1 << 20


class Handler(Protocol):
    """Serves the requests that the connections receive."""

    def handle(self, received: "ReceivedRequest") -> None:
        """Serves a request whose body has been received completely.

        The handler calls its `release_body` when it no longer needs the body.
        """

    def body_bound(self) -> int:
        """Returns the maximum size of a request body in bytes."""

    @property
    def body_budget(self) -> memory_budget.MemoryBudget:
        """The memory for the bodies of all requests."""

    def closing(self) -> bool:
        """Returns whether connections close after their current response."""


class ReceivedRequest(memory_body.MemoryBody, http.Request):
    """A received request and the methods that send its response."""

    # Set on the subclass that `make_factory` creates.
    handler: Handler
    defaultContentType = None  # noqa: N815

    def __init__(self, *args: Any, **kwargs: Any):
        """Creates a request; see `twisted.web.http.Request`."""
        super().__init__(*args, **kwargs)
        self.disconnected = False
        self.response_started = False
        self._ended = False
        self._is_handled = False
        self._on_disconnect: Callable[[], None] | None = None

    def requestReceived(self, command, path, version):  # noqa: D102, N802
        # Unlike Twisted's method, this parses neither form fields nor cookies:
        # the request is relayed unchanged.
        self.method, self.uri, self.clientproto = command, path, version
        self.content.seek(0, 0)
        self.process()

    def process(self) -> None:
        """Passes the request to the handler or refuses a too large one."""
        refusal = self.body_refusal()
        if refusal is not None:
            self.refuse(refusal)
            return
        self._is_handled = True
        self.handler.handle(self)

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: D102, N802
        super().connectionLost(reason)
        self.disconnected = True
        self._ended = True
        if not self._is_handled:
            self.release_body()
        if self._on_disconnect is not None:
            self._on_disconnect()

    def max_body_bytes(self) -> int:
        """Returns the maximum size of a request body in bytes."""
        return self.handler.body_bound()

    def body_budget(self) -> memory_budget.MemoryBudget:
        """Returns the memory for the bodies of all requests."""
        return self.handler.body_budget

    def header_list(self) -> list[tuple[bytes, bytes]]:
        """Returns the name and value of every header."""
        return [
            (name, value)
            for name, values in self.requestHeaders.getAllRawHeaders()
            for value in values
        ]

    def on_disconnect(self, callback: Callable[[], None]) -> None:
        """Sets the function that is called when the caller disconnects."""
        self._on_disconnect = callback

    def start_response(
        self, status: int, reason: bytes, headers: http1.Headers
    ) -> None:
        """Starts a response with its status and headers."""
        if self._ended:
            return
        self.response_started = True
        self.setResponseCode(status, reason or None)
        for name, value in headers:
            self.responseHeaders.addRawHeader(name, value)
        self._maybe_close()

    def write_body(self, data: bytes) -> None:
        """Sends a part of the response body.

        Drops the connection and what waits there if the caller has not read
        more than `MAX_UNSENT_BYTES` of earlier parts.
        """
        if self._ended:
            return
        transport = self.channel.transport
        if transports.unsent_bytes(transport) > MAX_UNSENT_BYTES:
            self._ended = True
            transport.abortConnection()
            return
        self.write(data)

    def finish_response(self) -> None:
        """Ends the response as complete."""
        if self._ended:
            return
        self._ended = True
        self.finish()

    def hold_until_read(self, memory: memory_budget.Reservation) -> None:
        """Releases memory once the caller has read what was written.

        Args:
          memory: the memory of what was written.
        """
        if self.disconnected:
            memory.release()
        else:
            unread.UnreadAnswer(reactor, self.channel.transport, memory)

    def abort(self) -> None:
        """Closes the connection, so that the caller detects the truncation."""
        if self._ended:
            return
        self._ended = True
        self.channel.loseConnection()

    def refuse(self, refusal: errors.Refusal) -> None:
        """Sends a refusal as the response; the connection stays open."""
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
        self.response_started = True
        self.setResponseCode(answer.status)
        self.setHeader(b"content-type", b"application/problem+json")
        self.setHeader(b"content-length", b"%d" % len(body))
        if answer.retry_after_s is not None:
            self.setHeader(
                b"retry-after", f"{answer.retry_after_s:.2f}".encode()
            )
        self._maybe_close()
        self.write(body)
        self.finish_response()

    def _maybe_close(self) -> None:
        if self.handler.closing():
            self.setHeader(b"connection", b"close")
            self.channel.persistent = False


def make_factory(
    handler: Handler, idle_timeout_s: float
) -> http_service.Factory:
    """Returns the Twisted factory of callers' connections.

    Args:
      handler: serves the requests.
      idle_timeout_s: idle timeout of a connection in seconds.
    """
    request = type("Request", (ReceivedRequest,), {"handler": handler})
    return http_service.Factory(request, idle_timeout_s)


class _Readiness(memory_body.MemoryBody, http.Request):
    ready: Callable[[], bool]

    def max_body_bytes(self) -> int:
        """Returns 0: a body of a readiness check is discarded."""
        return 0

    def process(self) -> None:
        """Responds with 200 if the node is ready, else with 503."""
        self.setResponseCode(200 if type(self).ready() else 503)
        self.setHeader(b"content-length", b"0")
        self.finish()


def make_readiness_factory(
    is_ready: Callable[[], bool],
) -> http_service.Factory:
    """Returns the Twisted factory of the load balancer's readiness probes.

    Args:
      is_ready: returns whether the load balancer may send new connections.
    """
    return http_service.Factory(
        type("Request", (_Readiness,), {"ready": staticmethod(is_ready)})
    )
