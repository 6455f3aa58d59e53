"""HTTP/1.1 client that keeps idle connections for reuse."""

import collections
from collections.abc import Callable
from typing import Any

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import error
from twisted.internet import protocol

from azureline.core import clock as clocks
from azureline.util import bodies
from azureline.util import http1
from azureline.util import memory_budget
from azureline.util import turns

MAX_IDLE_PER_ADDRESS = 16


class Client:
    """Owns the connections to peers and keeps idle ones for reuse."""

    def __init__(self, reactor: Any, clock: clocks.Clock, connect_s: float):
        """Creates a client without connections.

        Args:
          reactor: the Twisted reactor.
          clock: source of time.
          connect_s: timeout for opening a connection, in seconds.
        """
        self._reactor = reactor
        self._clock = clock
        self._connect_s = connect_s
        self._idle: dict[
            http1.Address, collections.deque[http1.Connection]
        ] = {}
        self._all: set[http1.Connection] = set()
        self._turns = turns.Turns(reactor)
        self.opened = 0

    def start(
        self,
        address: http1.Address,
        request: http1.Request,
        listener: http1.Listener,
        new_connection: bool = False,
    ) -> http1.Call:
        """Sends a request.

        Args:
          address: the peer.
          request: what to send.
          listener: receives the answer.
          new_connection: whether to open a connection even if one is idle.
        """
        call = http1.Call(request, listener)
        connection = None if new_connection else self._take_idle(address)
        if connection is not None:
            connection.send(call)
            return call
        endpoint = endpoints.TCP4ClientEndpoint(
            self._reactor, address.host, address.port, timeout=self._connect_s
        )
        factory = protocol.Factory.forProtocol(
            lambda: http1.Connection(self, address)
        )
        call.connecting = endpoint.connect(factory)
        call.connecting.addCallbacks(
            self._connected,
            lambda failure: call.fail(
                http1.Failure(
                    f"connect: {failure.type.__name__}",
                    sent=False,
                    refused=bool(failure.check(error.ConnectionRefusedError)),
                )
            ),
            callbackArgs=(call,),
        )
        return call

    def fetch(
        self,
        address: http1.Address,
        request: http1.Request,
        timeout_s: float,
        new_connection: bool = False,
        memory: memory_budget.Reservation | None = None,
    ) -> defer.Deferred[http1.Answer | http1.Failure]:
        """Sends a request and collects its whole answer.

        Args:
          address: the peer.
          request: what to send.
          timeout_s: seconds after which the request fails as unanswered.
          new_connection: whether to open a connection even if one is idle.
          memory: memory for the body while it is received; None if it is not
            counted.
        """
        fetching = _Fetch(memory)
        call = self.start(address, request, fetching, new_connection)
        fetching.call = call

        def expired() -> None:
            sent = call.connection is not None
            call.cancel()
            fetching.on_failure(http1.Failure("timeout", sent))

        timer = self._reactor.callLater(timeout_s, expired)

        def ended(
            result: http1.Answer | http1.Failure,
        ) -> http1.Answer | http1.Failure:
            if timer.active():
                timer.cancel()
            return result

        return fetching.result.addCallback(ended)

    def close(self) -> None:
        """Closes every connection."""
        for connection in list(self._all):
            connection.abort()

    def close_expired(self) -> None:
        """Closes connections whose idle time has expired."""
        now = self._clock.now()
        for address, waiting in list(self._idle.items()):
            while waiting and waiting[0].idle_until <= now:
                waiting.popleft().abort()
            if not waiting:
                del self._idle[address]

    def close_idle(self, address: http1.Address) -> None:
        """Closes the idle connections to a peer."""
        for connection in self._idle.pop(address, ()):
            connection.abort()

    def call_next_turn(self, function: Callable[[], None]) -> Any:
        """Calls a function after other connections had their turn."""
        return self._turns.call(function)

    def _connected(
        self, connection: http1.Connection, call: http1.Call
    ) -> None:
        self.opened += 1
        if call.listener is None:
            connection.abort()
            return
        connection.send(call)

    def _take_idle(self, address: http1.Address) -> http1.Connection | None:
        waiting = self._idle.get(address)
        now = self._clock.now()
        while waiting:
            connection = waiting.pop()
            if connection.idle_until > now:
                return connection
            connection.abort()
        return None

    def on_connected(self, connection: http1.Connection) -> None:
        """Called when a connection is open."""
        self._all.add(connection)

    def on_closed(self, connection: http1.Connection) -> None:
        """Called when a connection has closed."""
        self._all.discard(connection)
        waiting = self._idle.get(connection.address)
        if waiting is not None and connection in waiting:
            waiting.remove(connection)

    def add_idle(
        self, connection: http1.Connection, idle_limit_s: float
    ) -> None:
        """Keeps a connection for reuse, within the limit of its peer."""
        waiting = self._idle.setdefault(connection.address, collections.deque())
        connection.idle_until = self._clock.now() + idle_limit_s
        waiting.append(connection)
        if len(waiting) > MAX_IDLE_PER_ADDRESS:
            waiting.popleft().abort()


class _Fetch:
    """Collects one answer."""

    def __init__(self, memory: memory_budget.Reservation | None):
        self.result: defer.Deferred[http1.Answer | http1.Failure] = (
            defer.Deferred()
        )
        self.call: http1.Call | None = None
        self._head: http1.Head | None = None
        self._body = bodies.Body(memory)

    def on_head(self, head: http1.Head) -> None:
        self._head = head

    def on_data(self, data: bytes) -> None:
        excess = self._body.add(data)
        if excess and self.call is not None:
            self.call.cancel()
            self.on_failure(http1.Failure(excess, sent=True))

    def on_complete(self) -> None:
        assert self._head is not None
        self._finish(http1.Answer(self._head, self._body.content()))

    def on_failure(self, failure: http1.Failure) -> None:
        self._finish(failure)

    def _finish(self, result: http1.Answer | http1.Failure) -> None:
        self._body.release()
        if not self.result.called:
            self.result.callback(result)
