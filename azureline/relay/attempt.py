"""One send of a request to a backend server, and what became of it."""

from collections.abc import Callable
import enum
from typing import NamedTuple

from twisted.internet import defer

from azureline.callers import relay as caller_side
from azureline.platform import requests as wire
from azureline.relay import pieces
from azureline.relay import routes
from azureline.util import http1


class End(enum.Enum):
    """How an attempt ended."""

    DELIVERED = "delivered"  # The caller has the whole answer.
    NOT_RUN = "not_run"  # The server says that it did not run.
    NOT_SENT = "not_sent"  # No byte of it reached the server.
    BROKEN = "broken"  # It may have run; there is no whole answer.
    FAILED = "failed"  # The server's own failure; the answer is kept.
    CANCELLED = "cancelled"


class Result(NamedTuple):
    """What became of an attempt.

    Attributes:
      end: how it ended.
      reason: for logs.
      status: status of the answer, or 0 without one.
      retry_after_s: when the server asked to come back, or None.
      wrong_server: whether another server, or one without the model,
        answered.
      kept: the server's own failure, which can be passed on.
      lost: whether the connection ended before the answer was whole.
    """

    end: End
    reason: str = ""
    status: int = 0
    retry_after_s: float | None = None
    wrong_server: bool = False
    kept: http1.Answer | None = None
    lost: bool = False


class Attempt:
    """Listens to one answer and passes it on to the caller."""

    def __init__(
        self,
        received: caller_side.Received,
        request_id: str,
        route: routes.Route,
        reader: pieces.EventReader,
        now: Callable[[], float],
        on_first: Callable[[float], None],
        on_head: Callable[[http1.Head], None],
    ):
        """Creates an attempt that was not sent yet.

        Args:
          received: the caller's side.
          request_id: the caller's id of the request.
          route: the request's route.
          reader: checks a stream's events, over all attempts.
          now: returns monotonic time in seconds.
          on_first: is told the seconds to the first part of the answer.
          on_head: is told the head of the server's answer.
        """
        self._received = received
        self._request_id = request_id
        self._route = route
        self._reader = reader
        self._now = now
        self._on_first = on_first
        self._on_head = on_head
        self._began = now()
        self._part_at: float | None = None
        self._head: http1.Head | None = None
        self._reply: wire.Reply | None = None
        self._body = http1.Body()
        self._call: http1.Call | None = None
        self.done: defer.Deferred[Result] = defer.Deferred()
        # Seconds to the first part of the answer, and the longest pause
        # between two parts.
        self.first_s: float | None = None
        self.pause_s = 0.0

    def begin(
        self,
        client: http1.Client,
        address: http1.Address,
        request: http1.Request,
        fresh: bool,
    ) -> None:
        """Sends the request."""
        self._reader.restart()
        self._call = client.start(address, request, self, fresh)

    def cancel(self) -> None:
        """Closes the server's connection, which cancels its work."""
        if self._call is not None:
            self._call.cancel()
        self._finish(Result(End.CANCELLED))

    def head(self, head: http1.Head) -> None:
        """Takes the answer's status and headers."""
        self._on_head(head)
        self._head = head
        self._reply = wire.reply(head, self._request_id)
        if not self._reply.own:
            self._break("answer of another request")
        elif self._reply.encoded:
            self._break("answer in an encoding")
        elif head.status < 300 and not self._reply.sealed:
            self._break("answer without the server's checksum")

    def data(self, data: bytes) -> None:
        """Takes a part of the answer's body."""
        if self.done.called:
            return
        self._note_part()
        if not self._streams():
            if not self._body.add(data):
                self._break(http1.TOO_LARGE)
            return
        read = self._reader.feed(data)
        if read.pieces:
            self._begin_answer()
            self._received.part(read.pieces)
        if read.fault:
            self._break(read.fault)

    def ended(self) -> None:
        """Learns that the answer is whole."""
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
        elif self._streams():
            self._end_stream()
        elif head.status >= 500:
            kept = http1.Answer(head, self._body.whole())
            self._finish(
                Result(
                    End.FAILED, f"status {head.status}", head.status, kept=kept
                )
            )
        else:
            pass_on(self._received, http1.Answer(head, self._body.whole()))
            self._finish(Result(End.DELIVERED, status=head.status))

    def failed(self, failure: http1.Failed) -> None:
        """Learns that no more will come."""
        end = End.BROKEN if failure.sent else End.NOT_SENT
        self._finish(Result(end, failure.reason, lost=failure.sent))

    def _note_part(self) -> None:
        now = self._now()
        if self._part_at is None:
            self.first_s = now - self._began
            self._on_first(self.first_s)
        else:
            self.pause_s = max(self.pause_s, now - self._part_at)
        self._part_at = now

    def _streams(self) -> bool:
        return (
            self._route.kind is routes.Kind.STREAMING
            and self._head is not None
            and self._head.status < 300
        )

    def _end_stream(self) -> None:
        fault = self._reader.end()
        if fault:
            self._finish(Result(End.BROKEN, fault, lost=True))
            return
        self._begin_answer()
        self._received.whole()
        self._finish(Result(End.DELIVERED, status=200))

    def _begin_answer(self) -> None:
        if self._received.begun:
            return
        assert self._head is not None
        # Events are passed on whole, so the length of the rest is open.
        headers = tuple(
            h for h in wire.passed_on(self._head) if h[0] != b"content-length"
        )
        self._received.head(self._head.status, self._head.reason, headers)

    def _break(self, reason: str) -> None:
        if self._call is not None:
            self._call.cancel()
        self._finish(Result(End.BROKEN, reason))

    def _finish(self, result: Result) -> None:
        if not self.done.called:
            self.done.callback(result)


def pass_on(received: caller_side.Received, answer: http1.Answer) -> None:
    """Answers a caller with a server's whole answer."""
    head = answer.head
    headers = [h for h in wire.passed_on(head) if h[0] != b"content-length"]
    headers.append((b"content-length", b"%d" % len(answer.body)))
    received.head(head.status, head.reason, tuple(headers))
    received.part(answer.body)
    received.whole()
