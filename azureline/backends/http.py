"""The HTTP transport to model engines, ledger engines and plain services.

The client makes no routing or retry decisions.  Every failure states
whether the request may have reached the server, since those decisions depend on
it.
"""

import json
from typing import Any
from typing import NamedTuple
from typing import Protocol

from absl import logging
from twisted.internet import defer
from twisted.internet import error as net_error
from twisted.internet import protocol
from twisted.web import client
from twisted.web import http_headers
from twisted.web import iweb
from zope import interface as zope_interface

from azureline.backends import interface

REPORT_TIMEOUT_S = 2.0
ORDER_TIMEOUT_S = 5.0
CANCEL_TIMEOUT_S = 2.0
MAX_ANSWER_BYTES = 1 << 20
MAX_IDLE_PER_HOST = 64
_NOT_SENT = (
    net_error.ConnectError,
    net_error.ConnectionRefusedError,
    net_error.DNSLookupError,
    net_error.NoRouteError,
)


class Failure(NamedTuple):
    """Falsy sentinel: a backend server gave no usable answer.

    Attributes:
      reason: what went wrong, for logs.
      sent: whether the request may have reached the server.
      refused: whether the VM refused the connection, which shows that no
        process listens on the port.
    """

    reason: str
    sent: bool
    refused: bool = False

    def __bool__(self) -> bool:
        return False


class Reply(NamedTuple):
    """The complete answer of a backend server.

    Attributes:
      status: HTTP status code.
      content_type: media type of the body.
      body: the complete body.
      started: False if the server reported that it did not start the request.
    """

    status: int
    content_type: str
    body: bytes
    started: bool


class StreamSink(Protocol):
    """Receives the events of one connection that carries a stream."""

    def on_opened(self, transport: Any) -> None:
        """Receives the transport, which can be paused and closed."""

    def on_data(self, data: bytes) -> None:
        """Receives bytes of the body."""

    def on_closed(self, reason: str) -> None:
        """Handles the end of the body or of the connection."""


class Stream(NamedTuple):
    """An open stream.

    Attributes:
      status: HTTP status code of the response.
      load: value of the X-Load header of the engine, or "".
      request_id: the request id that the engine echoed, or "".
      response: the response, whose body has not been read yet.
    """

    status: int
    load: str
    request_id: str
    response: Any


@zope_interface.implementer(iweb.IBodyProducer)
class _BytesProducer:
    """Body producer of bytes that are already in memory."""

    def __init__(self, body: bytes):
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer):  # noqa: N802
        consumer.write(self._body)
        return defer.succeed(None)

    def pauseProducing(self):  # noqa: N802
        """Does nothing; the body was written at once."""

    def resumeProducing(self):  # noqa: N802
        """Does nothing; the body was written at once."""

    def stopProducing(self):  # noqa: N802
        """Does nothing; the body was written at once."""


class _BodyForwarder(protocol.Protocol):
    """Forwards the bytes of a response body to a sink."""

    def __init__(self, sink: StreamSink):
        self._sink = sink

    def connectionMade(self):  # noqa: N802
        self._sink.on_opened(self.transport)

    def dataReceived(self, data):  # noqa: N802
        self._sink.on_data(data)

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        self._sink.on_closed(reason.type.__name__)


class _BodyCollector(protocol.Protocol):
    """Collects a response body of at most `MAX_ANSWER_BYTES` bytes.

    The result is None if the body is larger, or if the connection closed before
    an explicit end (Content-Length or the last chunk).
    """

    def __init__(self, done: defer.Deferred[bytes | None]):
        self._done = done
        self._chunks: list[bytes] = []
        self._size = 0

    def dataReceived(self, data):  # noqa: N802
        self._size += len(data)
        self._chunks.append(data)
        if self._size > MAX_ANSWER_BYTES and self.transport is not None:
            self.transport.loseConnection()

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        complete = reason.check(client.ResponseDone) is not None
        within_limit = self._size <= MAX_ANSWER_BYTES
        self._done.callback(
            b"".join(self._chunks) if complete and within_limit else None
        )


class BackendClient:
    """Sends requests and orders to backend servers."""

    def __init__(self, reactor: Any, connect_timeout_s: float):
        """Creates a client.

        Args:
          reactor: the Twisted reactor.
          connect_timeout_s: timeout of connecting to a server, in seconds.
        """
        self._reactor = reactor
        self._pool = client.HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = MAX_IDLE_PER_HOST
        self._pool.retryAutomatically = False
        self._agent = client.Agent(
            reactor, connectTimeout=connect_timeout_s, pool=self._pool
        )
        # A server may close an idle connection just as a request is sent on
        # it, and then it is unknown whether the request ran.  New connections
        # do not have this race.
        self._unpooled_agent = client.Agent(
            reactor, connectTimeout=connect_timeout_s
        )

    def close(self) -> defer.Deferred[None]:
        """Closes the idle connections."""
        return self._pool.closeCachedConnections()

    async def generate(
        self, url: str, body: dict[str, Any]
    ) -> Stream | Failure:
        """Starts a generation on the engine at `url`.

        Args:
          url: root URL of the engine, such as "http://127.0.0.1:9000".
          body: the request in the form of chat completions.

        Returns:
          The open stream, or why there is none.
        """
        return await self._open(
            b"POST", f"{url}/v1/chat/completions", json.dumps(body).encode()
        )

    async def resume(
        self, url: str, request_id: str, offset: int
    ) -> Stream | Failure:
        """Opens a new connection to a stream, after the token at `offset`."""
        return await self._open(
            b"GET", f"{url}/v1/streams/{request_id}?from={offset}", None
        )

    def forward_body(self, stream: Stream, sink: StreamSink) -> None:
        """Starts forwarding the bytes of a stream to a sink."""
        stream.response.deliverBody(_BodyForwarder(sink))

    async def cancel(self, url: str, request_id: str) -> None:
        """Asks an engine to cancel a stream; failures are only logged."""
        result = await self._call(
            self._agent,
            b"DELETE",
            f"{url}/v1/streams/{request_id}",
            None,
            {},
            CANCEL_TIMEOUT_S,
        )
        if isinstance(result, Failure):
            logging.info("event=cancel_failed reason=%s", result.reason)

    async def send_order(
        self, url: str, order: interface.Order
    ) -> interface.OrderResult:
        """Sends an order; returns `UNKNOWN` if there is no usable answer."""
        fields = order._asdict()
        fields["kind"] = order.kind.value
        reply = await self._call(
            self._agent,
            b"POST",
            f"{url}/orders",
            json.dumps(fields).encode(),
            {"Content-Type": "application/json"},
            ORDER_TIMEOUT_S,
        )
        if isinstance(reply, Failure) or reply.status != 200:
            return interface.OrderResult.UNKNOWN
        try:
            return interface.OrderResult(json.loads(reply.body)["result"])
        except (ValueError, KeyError, TypeError):
            return interface.OrderResult.UNKNOWN

    async def fetch_report(self, url: str) -> interface.Report | Failure:
        """Fetches an engine's report."""
        reply = await self._call(
            self._agent, b"GET", f"{url}/report", None, {}, REPORT_TIMEOUT_S
        )
        if isinstance(reply, Failure):
            return reply
        if reply.status != 200:
            return Failure(
                f"report has status {reply.status}, expected 200", True
            )
        return _parse_report(reply.body)

    async def call_service(
        self,
        url: str,
        method: bytes,
        body: bytes | None,
        headers: dict[str, str],
        timeout_s: float,
    ) -> Reply | Failure:
        """Calls a service on a new connection, without retries.

        Args:
          url: the complete URL.
          method: HTTP method.
          body: the body, or None.
          headers: headers to send.
          timeout_s: timeout of the whole call in seconds.
        """
        return await self._call(
            self._unpooled_agent, method, url, body, headers, timeout_s
        )

    async def _open(
        self, method: bytes, url: str, body: bytes | None
    ) -> Stream | Failure:
        try:
            response = await self._agent.request(
                method,
                url.encode(),
                http_headers.Headers({"Content-Type": ["application/json"]}),
                _BytesProducer(body) if body is not None else None,
            )
        except Exception as e:  # Twisted raises exceptions of many types.
            return _failure(e)
        return Stream(
            response.code,
            _header(response, "X-Load"),
            _header(response, "X-Request-Id"),
            response,
        )

    async def _call(
        self,
        agent: client.Agent,
        method: bytes,
        url: str,
        body: bytes | None,
        headers: dict[str, str],
        timeout_s: float,
    ) -> Reply | Failure:
        pending = defer.ensureDeferred(
            self._exchange(agent, method, url, body, headers)
        )
        pending.addTimeout(timeout_s, self._reactor)
        try:
            return await pending
        except Exception as e:  # Twisted raises exceptions of many types.
            return _failure(e)

    async def _exchange(
        self,
        agent: client.Agent,
        method: bytes,
        url: str,
        body: bytes | None,
        headers: dict[str, str],
    ) -> Reply | Failure:
        response = await agent.request(
            method,
            url.encode(),
            http_headers.Headers({k: [v] for k, v in headers.items()}),
            _BytesProducer(body) if body is not None else None,
        )
        done: defer.Deferred[bytes | None] = defer.Deferred()
        response.deliverBody(_BodyCollector(done))
        content = await done
        if content is None:
            return Failure(
                f"response cut off or over {MAX_ANSWER_BYTES} bytes", True
            )
        return Reply(
            response.code,
            _header(response, "Content-Type"),
            content,
            _header(response, "X-Not-Started") == "",
        )


def _header(response: Any, name: str) -> str:
    values = response.headers.getRawHeaders(name)
    return values[0] if values else ""


def _failure(error: Exception) -> Failure:
    # The timeout of the whole call is a `defer.TimeoutError`, which is not in
    # `_NOT_SENT`, since the request may have been sent.  Twisted's connect
    # timeout is a `ConnectError`.
    sent = not isinstance(error, _NOT_SENT)
    refused = isinstance(error, net_error.ConnectionRefusedError)
    return Failure(f"{type(error).__name__}: {error}"[:200], sent, refused)


def _parse_report(body: bytes) -> interface.Report | Failure:
    try:
        fields = json.loads(body)
        known = {k: fields[k] for k in interface.Report._fields}
        for name in ("models", "adapters"):
            known[name] = tuple(
                interface.ResidentModel(
                    r["name"], r["version"], r["bytes_used"], r["state"]
                )
                for r in known[name]
            )
        return interface.Report(**known)
    except (ValueError, KeyError, TypeError) as e:
        return Failure(f"malformed report: {type(e).__name__}: {e}", True)
