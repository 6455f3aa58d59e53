"""The HTTP transport to model engines, ledger engines and plain services.

The client makes no routing or retry decisions.  Every failure states
whether the request may have reached the server, since those decisions depend on
it.
"""

import json
from typing import Any
from typing import NamedTuple
from typing import Protocol
import urllib.parse

from absl import logging
from twisted.internet import defer

from azureline.backends import interface
from azureline.core import clock as clocks
from azureline.util import http1
from azureline.util import http1_client
from azureline.util import memory_budget

REPORT_TIMEOUT_S = 2.0
ORDER_TIMEOUT_S = 5.0
CANCEL_TIMEOUT_S = 2.0
MAX_ANSWER_BYTES = 1 << 20
_STATUSES_WITHOUT_BODY = (204, 304)


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


class _Transport:
    """The connection of a stream, as its sink uses it."""

    def __init__(self, call: http1.Call):
        self._call = call

    def pauseProducing(self) -> None:  # noqa: N802
        self._call.pause()

    def resumeProducing(self) -> None:  # noqa: N802
        self._call.resume()

    def loseConnection(self) -> None:  # noqa: N802
        self._call.cancel()


class _StreamListener:
    """Forwards the answer that is a stream to a sink.

    Attributes:
      opened: fires with the stream, or with why there is none.
      call: the request that opens the stream.
    """

    def __init__(self):
        self.opened: defer.Deferred[Stream | Failure] = defer.Deferred()
        self.call: http1.Call
        self._sink: StreamSink | None = None

    def forward_to(self, sink: StreamSink) -> None:
        """Forwards the body, from the moment at which the head has come."""
        self._sink = sink
        sink.on_opened(_Transport(self.call))

    def on_head(self, head: http1.Head) -> None:
        stream = Stream(
            head.status,
            _text(head, b"x-load"),
            _text(head, b"x-request-id"),
            self,
        )
        self.opened.callback(stream)
        if self._sink is None:
            # Nobody wants the body.
            self.call.cancel()

    def on_data(self, data: bytes) -> None:
        if self._sink is not None:
            self._sink.on_data(data)

    def on_complete(self) -> None:
        if self._sink is not None:
            self._sink.on_closed("ResponseDone")

    def on_failure(self, failure: http1.Failure) -> None:
        if not self.opened.called:
            self.opened.callback(_failure(failure))
        elif self._sink is not None:
            self._sink.on_closed(failure.reason)


class BackendClient:
    """Sends requests and orders to backend servers."""

    def __init__(
        self,
        reactor: Any,
        connect_timeout_s: float,
        answer_budget: memory_budget.MemoryBudget | None = None,
    ):
        """Creates a client.

        Args:
          reactor: the Twisted reactor.
          connect_timeout_s: timeout of connecting to a server, in seconds.
          answer_budget: memory for the answers that are being received; None
            if it is not counted.
        """
        self._client = http1_client.Client(
            reactor, clocks.SystemClock(), connect_timeout_s
        )
        self._answer_budget = answer_budget

    def close(self) -> defer.Deferred[None]:
        """Closes all connections."""
        self._client.close()
        return defer.succeed(None)

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
        """Opens a new connection to a stream, after the token at `offset`.

        Idle connections to an engine that broke one may be broken, too.
        """
        return await self._open(
            b"GET",
            f"{url}/v1/streams/{request_id}?from={offset}",
            None,
            new_connection=True,
        )

    def forward_body(self, stream: Stream, sink: StreamSink) -> None:
        """Starts forwarding the bytes of a stream to a sink."""
        stream.response.forward_to(sink)

    async def cancel(self, url: str, request_id: str) -> None:
        """Asks an engine to cancel a stream; failures are only logged."""
        result = await self._call(
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
            b"GET", f"{url}/report", None, {}, REPORT_TIMEOUT_S
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
        # A server may close an idle connection just as a request is sent on
        # it, and then it is unknown whether the request ran.  New connections
        # do not have this race.
        headers = {**headers, "Connection": "close"}
        return await self._call(
            method, url, body, headers, timeout_s, new_connection=True
        )

    async def _open(
        self,
        method: bytes,
        url: str,
        body: bytes | None,
        new_connection: bool = False,
    ) -> Stream | Failure:
        listener = _StreamListener()
        address, request = _request(
            method, url, body, {"Content-Type": "application/json"}
        )
        listener.call = self._client.start(
            address, request, listener, new_connection
        )
        return await listener.opened

    async def _call(
        self,
        method: bytes,
        url: str,
        body: bytes | None,
        headers: dict[str, str],
        timeout_s: float,
        new_connection: bool = False,
    ) -> Reply | Failure:
        address, request = _request(method, url, body, headers)
        budget = self._answer_budget
        memory = budget and budget.reserve(f"{address.host}:{address.port}")
        answer = await self._client.fetch(
            address, request, timeout_s, new_connection, memory
        )
        if isinstance(answer, http1.Failure):
            return _failure(answer)
        if not _has_explicit_end(answer.head):
            return Failure("response without an explicit end", True)
        if len(answer.body) > MAX_ANSWER_BYTES:
            return Failure(f"response over {MAX_ANSWER_BYTES} bytes", True)
        return Reply(
            answer.head.status,
            _text(answer.head, b"content-type"),
            answer.body,
            not answer.head.get(b"x-not-started"),
        )


def _request(
    method: bytes, url: str, body: bytes | None, headers: dict[str, str]
) -> tuple[http1.Address, http1.Request]:
    """Returns the address of a URL and the request to send there."""
    parts = urllib.parse.urlsplit(url)
    target = urllib.parse.urlunsplit(("", "", parts.path, parts.query, ""))
    sent = {"Host": parts.netloc, **headers}
    return http1.Address(parts.hostname or "", parts.port or 80), http1.Request(
        method,
        (target or "/").encode(),
        tuple((n.encode(), v.encode()) for n, v in sent.items()),
        body or b"",
    )


def _text(head: http1.Head, name: bytes) -> str:
    return head.get(name).decode("latin-1")


def _has_explicit_end(head: http1.Head) -> bool:
    """Returns whether an answer does not merely end with its connection."""
    if head.status in _STATUSES_WITHOUT_BODY:
        return True
    framing = (b"content-length", b"transfer-encoding")
    return any(head.get(name) for name in framing)


def _failure(failure: http1.Failure) -> Failure:
    return Failure(failure.reason, failure.sent, failure.refused)


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
