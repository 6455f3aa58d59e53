"""One attempt to run a request on a backend server, and its outcome."""

from collections.abc import Callable
import enum
from typing import NamedTuple

from twisted.internet import defer

from azureline.callers import relay as caller_side
from azureline.platform import requests as wire
from azureline.relay import routes
from azureline.relay import stream_events
from azureline.util import bodies
from azureline.util import http1
from azureline.util import http1_client
from azureline.util import memory_budget

# An engine that crashes as it begins to write may have written one event.
_BEGUN_EVENTS = 2


class End(enum.Enum):
    """How an attempt ended."""

    DELIVERED = "delivered"  # The caller got the whole answer.
    NOT_RUN = "not_run"  # The server reports that it did not run it.
    NOT_SENT = "not_sent"  # The connection failed before any byte was sent.
    BROKEN = "broken"  # It may have run; the answer is incomplete.
    FAILED = "failed"  # The server answered 5xx; the answer is kept.
    EXPIRED = "expired"  # The deadline passed; the server may still run it.
    CANCELLED = "cancelled"  # The same, because the caller disconnected.


class Result(NamedTuple):
    """Outcome of an attempt.

    Attributes:
      end: how it ended.
      reason: description of the failure for logs, or "".
      status: HTTP status of the answer, or 0 without one.
      retry_after_s: seconds after which the server asked for a retry, or None.
      wrong_server: whether another server, or one without the model,
        answered.
      kept: the server's error answer, which can be passed on to the caller.
      lost: whether the connection ended before the answer was complete.
    """

    end: End
    reason: str = ""
    status: int = 0
    retry_after_s: float | None = None
    wrong_server: bool = False
    kept: http1.Answer | None = None
    lost: bool = False


class Attempt:
    """Receives one answer and passes it on to the caller."""

    def __init__(
        self,
        received: caller_side.ReceivedRequest,
        request_id: str,
        route: routes.Route,
        reader: stream_events.EventReader,
        memory: memory_budget.Reservation | None,
        now: Callable[[], float],
        on_first: Callable[[float], None],
        on_head: Callable[[http1.Head], None],
        on_begun: Callable[[], None],
        on_stream: Callable[[], None],
    ):
        """Creates an attempt; `begin` sends it.

        Args:
          received: the connection to the caller.
          request_id: the caller's id of the request.
          route: the request's route.
          reader: reads the stream's events; all attempts of a request share it.
          memory: memory for what is held of the answer; None if it is not
            counted. It is released when the attempt ends.
          now: returns monotonic time in seconds.
          on_first: called with the seconds to the first part of the answer.
          on_head: called with the head of the server's answer.
          on_begun: called once the server has begun to write the answer
            without a crash.
          on_stream: called before the first events of a stream are passed on.
        """
        self._received = received
        self._request_id = request_id
        self._route = route
        self._reader = reader
        self._now = now
        self._on_first = on_first
        self._on_head = on_head
        self._on_begun = on_begun
        self._on_stream = on_stream
        self._stream_passed = False
        self._events_before = reader.passed
        self._started_at = now()
        self._last_part_at: float | None = None
        self._head: http1.Head | None = None
        self._reply: wire.AnswerHead | None = None
        self._memory = memory
        self._body = bodies.Body(memory)
        self._call: http1.Call | None = None
        self.done: defer.Deferred[Result] = defer.Deferred()
        # Seconds to the first part of the answer, and the longest pause in
        # seconds between two parts.
        self.first_s: float | None = None
        self.pause_s = 0.0
        # Whether the server has begun to write the answer without a crash.
        self.begun = False

    def begin(
        self,
        client: http1_client.Client,
        address: http1.Address,
        request: http1.Request,
        fresh: bool,
    ) -> None:
        """Sends the request.

        Args:
          client: HTTP client that owns the connections.
          address: where the backend server accepts requests.
          request: the encoded request.
          fresh: whether to use a new connection.
        """
        self._reader.restart(self._memory)
        self._call = client.start(address, request, self, fresh)

    def cancel(self, end: End = End.CANCELLED) -> None:
        """Closes the connection, which makes the server cancel its work."""
        if self._call is not None:
            self._call.cancel()
        self._finish(Result(end))

    def server_ended(self) -> None:
        """Gives up an answer that cannot come, as the server has restarted."""
        if self._call is not None:
            self._call.cancel()
        self._finish(Result(End.BROKEN, "server restarted", lost=True))

    def on_head(self, head: http1.Head) -> None:
        """Handles the answer's status and headers."""
        self._on_head(head)
        self._head = head
        self._reply = wire.parse_answer_head(head, self._request_id)
        if not self._reply.matches_request:
            self._break_off("answer has another request's id")
        elif self._reply.not_run and not self._is_own_refusal():
            self._break_off("refusal on a kept connection names no request")
        elif self._reply.encoded:
            self._break_off("answer has a content encoding")
        elif head.status < 300 and not self._reply.sealed:
            self._break_off("answer lacks the server's checksum")

    def on_data(self, data: bytes) -> None:
        """Handles a part of the answer's body."""
        if self.done.called:
            return
        self._record_part()
        if not self._is_stream():
            excess = self._body.add(data)
            if excess:
                self._break_off(excess)
            return
        read = self._reader.feed(data)
        if read.pieces:
            if not self._stream_passed:
                self._stream_passed = True
                self._on_stream()
            self._send_head()
            self._received.write_body(read.pieces)
            if self._reader.passed >= self._events_before + _BEGUN_EVENTS:
                self._record_begun()
        if read.fault:
            self._break_off(read.fault)

    def on_complete(self) -> None:
        """Handles the end of a complete answer."""
        if self.done.called:
            return
        reply, head = self._reply, self._head
        assert reply is not None
        assert head is not None
        if reply.not_run:
            self._finish(
                Result(
                    End.NOT_RUN,
                    f"status {head.status}",
                    head.status,
                    reply.retry_after_s,
                    reply.wrong_server,
                )
            )
        elif self._is_stream():
            self._end_stream()
        elif head.status >= 500:
            kept = http1.Answer(head, self._body.content())
            self._finish(
                Result(
                    End.FAILED, f"status {head.status}", head.status, kept=kept
                )
            )
        elif self._received.response_started:
            self._finish(
                Result(End.BROKEN, f"status {head.status} within a stream")
            )
        else:
            pass_on(
                self._received,
                http1.Answer(head, self._body.content()),
                self._body.hand_over(),
            )
            if head.status < 300:
                self._record_begun()
            self._finish(Result(End.DELIVERED, status=head.status))

    def on_failure(self, failure: http1.Failure) -> None:
        """Handles a failed connection."""
        end = End.BROKEN if failure.sent else End.NOT_SENT
        self._finish(Result(end, failure.reason, lost=failure.sent))

    def _ends_with_connection(self) -> bool:
        """Returns whether the answer has neither a length nor chunks."""
        assert self._head is not None
        framing = (b"content-length", b"transfer-encoding")
        return not any(self._head.get(name) for name in framing)

    def _is_own_refusal(self) -> bool:
        """Returns whether a refusal answers this request for certain.

        A server may send the refusal of an earlier request of the connection
        once more.
        """
        assert self._reply is not None
        is_reused = self._call is not None and self._call.reused
        return self._reply.names_request or not is_reused

    def _record_begun(self) -> None:
        if not self.begun:
            self.begun = True
            self._on_begun()

    def _record_part(self) -> None:
        now = self._now()
        if self._last_part_at is None:
            self.first_s = now - self._started_at
            self._on_first(self.first_s)
        else:
            self.pause_s = max(self.pause_s, now - self._last_part_at)
        self._last_part_at = now

    def _is_stream(self) -> bool:
        return (
            self._route.kind is routes.Kind.STREAMING
            and self._head is not None
            and self._head.status < 300
        )

    def _end_stream(self) -> None:
        fault = self._reader.end()
        if self._ends_with_connection() and not self._reader.last_event:
            # The connection of a server that crashes may end in order, too.
            fault = fault or "stream ended without an event"
        if fault:
            self._finish(Result(End.BROKEN, fault, lost=True))
            return
        self._send_head()
        self._received.finish_response()
        if self._reader.passed > self._events_before:
            self._record_begun()
        self._finish(Result(End.DELIVERED, status=200))

    def _send_head(self) -> None:
        if self._received.response_started:
            return
        assert self._head is not None
        # Only complete events are passed on, so the length is not known yet.
        headers = tuple(
            h
            for h in wire.forwarded_headers(self._head)
            if h[0] != b"content-length"
        )
        self._received.start_response(
            self._head.status, self._head.reason, headers
        )

    def _break_off(self, reason: str) -> None:
        if self._call is not None:
            self._call.cancel()
        self._finish(Result(End.BROKEN, reason))

    def _finish(self, result: Result) -> None:
        if not self.done.called:
            self._body.release()
            # A later attempt may use the reader already.
            self._reader.restart()
            self.done.callback(result)


def pass_on(
    received: caller_side.ReceivedRequest,
    answer: http1.Answer,
    memory: memory_budget.Reservation | None = None,
) -> None:
    """Sends a server's complete answer to a caller.

    Args:
      received: the connection to the caller.
      answer: the answer.
      memory: memory of the answer, which is in use until the caller has read
        it; None if it is not counted.
    """
    head = answer.head
    headers = [
        h for h in wire.forwarded_headers(head) if h[0] != b"content-length"
    ]
    headers.append((b"content-length", b"%d" % len(answer.body)))
    received.start_response(head.status, head.reason, tuple(headers))
    received.write_body(answer.body)
    if memory is not None:
        received.hold_until_read(memory)
    received.finish_response()
