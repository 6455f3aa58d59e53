"""HTTP/1.1 connections that distinguish complete from truncated answers.

Twisted's client takes a reset for the end of an answer without a length, and
drops bytes that follow an answer.  `h11` detects both, so this module uses
Twisted for connections and `h11` for the protocol.
"""

from collections.abc import Callable
import socket
from typing import Any
from typing import NamedTuple
from typing import Protocol

import h11
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import protocol

from azureline.util import digits
from azureline.util import transports

Headers = tuple[tuple[bytes, bytes], ...]

MAX_HEAD_BYTES = 16384
# A larger body is sent in parts of this size, as the peer reads it: the
# transport would copy it as a whole several times.
_BODY_PART_BYTES = 65536
# Maximum number of interim (1xx) answers before the final one.
MAX_INTERIM = 16
# Less than the shortest idle timeout that backend servers announce.
MAX_IDLE_S = 4.0
# A peer that announces an idle timeout may close this much earlier.
IDLE_MARGIN_S = 0.7
# Parts of an answer that are handled before other connections get their turn. A
# peer can put thousands of them into what is received at once.
PARTS_PER_TURN = 16
# Received bytes that are parsed at once. A head is parsed as a whole when it is
# complete, so a larger one would exceed its limit unnoticed.
_PARSED_BYTES = 8192
# A connection with unacknowledged bytes fails after this time, because a VM
# that lost power sends no reset.
TCP_USER_TIMEOUT_MS = 3000
# A watch has no unacknowledged bytes, so keepalive probes detect an
# unresponsive peer: the first after one idle second, the second a second later.
_TCP_OPTIONS = (
    (socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    (socket.TCP_KEEPIDLE, 1),
    (socket.TCP_KEEPINTVL, 1),
    (socket.TCP_KEEPCNT, 2),
)


class Address(NamedTuple):
    """An IP address and a TCP port."""

    host: str
    port: int


class Request(NamedTuple):
    """A request to send.

    Attributes:
      method: HTTP method.
      target: path with its query, as it goes on the wire.
      headers: all headers except Content-Length.
      body: the whole body.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


class Head(NamedTuple):
    """Status and headers of an answer; header names are lower-case."""

    status: int
    reason: bytes
    headers: Headers

    def get(self, name: bytes) -> bytes:
        """Returns the first value of a header, or b"" if it is absent."""
        for key, value in self.headers:
            if key == name:
                return value
        return b""


class Answer(NamedTuple):
    """A complete answer."""

    head: Head
    body: bytes


class Failure(NamedTuple):
    """Falsy sentinel: there is no complete answer.

    Attributes:
      reason: cause of the failure, for logs.
      sent: whether the request may have reached the peer.
      reused: whether it was sent on a connection that had been used before.
      refused: whether the host answered that nothing listens on the port.
    """

    reason: str
    sent: bool
    reused: bool = False
    refused: bool = False

    def __bool__(self) -> bool:
        return False


class Listener(Protocol):
    """Receives the parts of one answer, in order."""

    def on_head(self, head: Head) -> None:
        """Receives status and headers."""

    def on_data(self, data: bytes) -> None:
        """Receives a part of the body."""

    def on_complete(self) -> None:
        """Called when the answer is complete."""

    def on_failure(self, failure: Failure) -> None:
        """Called when the answer fails; no other call follows."""


class Call:
    """One request in flight; `cancel` does not notify the listener."""

    def __init__(self, request: Request, listener: Listener):
        self.request = request
        self.listener: Listener | None = listener
        self.connection: Connection | None = None
        self.connecting: defer.Deferred[Any] | None = None
        # Whether its connection had carried another call before.
        self.reused = False

    def cancel(self) -> None:
        """Closes the connection; the listener is not called any more."""
        self.listener = None
        if self.connection is not None:
            self.connection.abort()
        elif self.connecting is not None:
            self.connecting.cancel()

    def pause(self) -> None:
        """Stops reading the answer until `resume` is called."""
        if self.connection is not None:
            self.connection.pause()

    def resume(self) -> None:
        """Goes on reading the answer."""
        if self.connection is not None:
            self.connection.resume()

    def fail(self, failure: Failure) -> None:
        """Reports a failure to the listener, at most once."""
        listener, self.listener = self.listener, None
        if listener is not None:
            listener.on_failure(failure)


class Owner(Protocol):
    """Owns connections and keeps idle ones for reuse."""

    def on_connected(self, connection: "Connection") -> None:
        """Called when a connection is open."""

    def on_closed(self, connection: "Connection") -> None:
        """Called when a connection has closed."""

    def add_idle(self, connection: "Connection", idle_limit_s: float) -> None:
        """Takes a connection that may be reused for some seconds."""

    def call_next_turn(self, function: Callable[[], None]) -> Any:
        """Calls a function after other connections had their turn."""


class Connection(protocol.Protocol):
    """One connection, which handles one call at a time."""

    def __init__(self, owner: Owner, address: Address):
        """Creates a connection that is not open yet."""
        self.address = address
        self.idle_until = 0.0
        self._owner = owner
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._call: Call | None = None
        self._calls = 0
        self._interim_count = 0
        self._idle_limit_s = MAX_IDLE_S
        self._ended = False
        self._lost = False
        self._unsent_body = memoryview(b"")
        self._unparsed = memoryview(b"")
        # Whether the listener has asked for a pause.
        self._is_paused = False
        # The next turn, while not all that was received has been handled.
        self._next_turn: Any = None

    def connectionMade(self) -> None:  # noqa: D102, N802
        self._owner.on_connected(self)
        self.transport.setTcpNoDelay(True)
        handle = self.transport.getHandle()
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in _TCP_OPTIONS:
            handle.setsockopt(socket.IPPROTO_TCP, option, value)

    def send(self, call: Call) -> None:
        """Sends a call's request."""
        self._call = call
        self._calls += 1
        self._interim_count = 0
        call.connection = self
        call.reused = self._calls > 1
        request = call.request
        headers = list(request.headers)
        if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
            headers.append((b"content-length", b"%d" % len(request.body)))
        try:
            data = self._http.send(
                h11.Request(
                    method=request.method,
                    target=request.target,
                    headers=headers,
                )
            )
        except h11.LocalProtocolError as e:
            self._fail(f"request: {e}", sent=False)
            return
        # The body is not kept here for as long as the answer takes.
        call.request = request._replace(body=b"")
        if len(request.body) <= _BODY_PART_BYTES:
            self.transport.write(data + self._encode_body(request.body))
            return
        self.transport.write(data)
        self._unsent_body = memoryview(request.body)
        self.transport.registerProducer(self, streaming=False)

    def resumeProducing(self) -> None:  # noqa: N802
        """Sends the next part of a large body; the transport calls it."""
        part = bytes(self._unsent_body[:_BODY_PART_BYTES])
        self._unsent_body = self._unsent_body[_BODY_PART_BYTES:]
        if self._unsent_body:
            self.transport.write(self._http.send(h11.Data(data=part)))
            return
        self._unsent_body = memoryview(b"")
        self.transport.unregisterProducer()
        self.transport.write(self._encode_body(part))

    def pause(self) -> None:
        """Stops reading the answer until `resume` is called."""
        if not self._is_paused and not self._ended:
            self._is_paused = True
            self._cancel_turn()
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Goes on reading the answer."""
        if self._is_paused and not self._ended:
            self._is_paused = False
            # What was received before the pause is handled first.
            self._next_turn = self._owner.call_next_turn(self._read)

    def stopProducing(self) -> None:  # noqa: N802
        """Drops the body; the transport calls it when it is lost."""
        self._unsent_body = memoryview(b"")

    def _encode_body(self, last_part: bytes) -> bytes:
        """Returns the last part of a body and its end."""
        data = b""
        if last_part:
            data = self._http.send(h11.Data(data=last_part))
        return data + self._http.send(h11.EndOfMessage())

    def abort(self) -> None:
        """Closes the connection at once."""
        self._ended = True
        self._call = None
        self._cancel_turn()
        if self.transport is not None:
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: D102, N802
        if self._ended:
            return
        if self._call is None:
            # Bytes outside of an answer belong to no request.
            self.abort()
            return
        if self._unparsed:
            data = bytes(self._unparsed) + data
        self._unparsed = memoryview(data)
        if self._next_turn is None and not self._is_paused:
            self._read()

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: D102, N802
        self._owner.on_closed(self)
        self._lost = True
        if self._ended or self._call is None:
            return
        self._cancel_turn()
        while self._read_part() or self._parse_more():
            pass
        if self._call is not None and reason.check(error.ConnectionDone):
            # Only a regular close may end an answer without a length.
            self._http.receive_data(b"")
            while self._read_part():
                pass
        if self._call is not None:
            self._fail(f"connection: {reason.type.__name__}")

    def _cancel_turn(self) -> None:
        turn, self._next_turn = self._next_turn, None
        if turn is not None and turn.active():
            turn.cancel()

    def _read(self) -> None:
        """Handles what was received, in several turns if it has many parts."""
        was_paused = self._next_turn is not None
        self._next_turn = None
        for _ in range(PARTS_PER_TURN):
            if self._is_paused:
                return
            if not self._read_part() and not self._parse_more():
                if was_paused and not self._ended:
                    self.transport.resumeProducing()
                return
        if not was_paused:
            self.transport.pauseProducing()
        self._next_turn = self._owner.call_next_turn(self._read)

    def _parse_more(self) -> bool:
        """Passes received bytes to the parser; returns False without any."""
        if not self._unparsed or self._ended:
            return False
        part = bytes(self._unparsed[:_PARSED_BYTES])
        self._unparsed = self._unparsed[_PARSED_BYTES:]
        self._http.receive_data(part)
        return True

    def _read_part(self) -> bool:
        """Handles a part of an answer; returns False if there is none."""
        if self._call is None:
            return False
        try:
            event = self._http.next_event()
        except h11.RemoteProtocolError as e:
            self._fail(f"answer: {e}")
            return False
        if event in (h11.NEED_DATA, h11.PAUSED):
            return False
        self._handle(event)
        return True

    def _handle(self, event: Any) -> None:
        listener = self._call.listener if self._call else None
        if listener is None:
            self.abort()
            return
        match event:
            case h11.InformationalResponse():
                self._interim_count += 1
                if self._interim_count > MAX_INTERIM:
                    self._fail("answer: too many interim answers")
            case h11.Response():
                head = Head(
                    event.status_code, bytes(event.reason), tuple(event.headers)
                )
                self._read_keep_alive(head)
                listener.on_head(head)
            case h11.Data():
                listener.on_data(bytes(event.data))
            case h11.EndOfMessage():
                self._finish()
            case h11.ConnectionClosed():
                self._fail("closed before an answer")

    def _finish(self) -> None:
        call, self._call = self._call, None
        self._release()
        if call is not None and call.listener is not None:
            listener, call.listener = call.listener, None
            listener.on_complete()

    def _release(self) -> None:
        trailing, closed = self._http.trailing_data
        has_more = bool(trailing or self._unparsed)
        unsent = transports.unsent_bytes(self.transport)
        done = (
            self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
        )
        is_reusable = done and not self._lost and self._idle_limit_s > 0
        if has_more or closed or unsent or not is_reusable:
            self.abort()
            return
        if self._is_paused:
            self._is_paused = False
            self.transport.resumeProducing()
        self._http.start_next_cycle()
        self._owner.add_idle(self, self._idle_limit_s)

    def _read_keep_alive(self, head: Head) -> None:
        limit_s = idle_limit_s(head.get(b"keep-alive"))
        if limit_s is not None:
            self._idle_limit_s = min(MAX_IDLE_S, limit_s - IDLE_MARGIN_S)

    def _fail(self, reason: str, sent: bool = True) -> None:
        call = self._call
        self.abort()
        if call is not None:
            call.fail(Failure(reason, sent, reused=self._calls > 1))


def idle_limit_s(keep_alive: bytes) -> int | None:
    """Returns the timeout in a Keep-Alive header in seconds, or None."""
    for part in keep_alive.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout":
            return digits.parse(value)
    return None
