"""Streams of typed messages between nodes.

A stream is opened by the first message to a node and closed once it has been
idle for `IDLE_S`.  Both ends send heartbeats, so that a connection that stops
responding without an error is detected and closed; the next message opens a new
one.
"""

import collections
from collections.abc import Callable
from typing import Any
from typing import NamedTuple
from typing import Protocol

from absl import logging
from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.internet import task

from azureline.core import clock as clocks
from azureline.core import wire
from azureline.metrics import counters as metrics
from azureline.nodes import messages
from azureline.util import turns

IDLE_S = 60.0
# Messages that are handled before other connections get their turn.
MESSAGES_PER_TURN = 16
MAX_WAITING = 1024


class Timing(NamedTuple):
    """Intervals and timeouts of streams, in seconds.

    Attributes:
      connect_s: timeout of connecting.
      heartbeat_s: interval between heartbeats.
      silence_s: time without a received byte after which a stream is aborted.
    """

    connect_s: float = 1.0
    heartbeat_s: float = 1.0
    silence_s: float = 3.5


class Address(NamedTuple):
    """The IP address and port at which a node accepts streams."""

    host: str
    port: int


class Receiver(Protocol):
    """Handles the messages and the closed streams of a node."""

    def message(self, sender: str, address: Address, message: Any) -> None:
        """Handles a message of another node."""

    def lost(self, name: str, address: Address) -> None:
        """Handles the end of the last stream to a node, or a failed connect.

        Args:
          name: name of the node, or "" if the connect failed.
          address: address of the node.
        """


class Links:
    """Owns the streams of one node."""

    def __init__(
        self,
        reactor: Any,
        name: str,
        address: Address,
        receiver: Receiver,
        clock: clocks.Clock,
        counters: metrics.Counters,
        timing: Timing,
    ):
        """Creates the links; opens no stream.

        Args:
          reactor: the Twisted reactor.
          name: name of this node's VM.
          address: where this node accepts streams.
          receiver: handles messages and lost streams.
          clock: source of time.
          counters: counts malformed input and lost streams.
          timing: intervals and timeouts.
        """
        self._reactor = reactor
        self._name = name
        self._address = address
        self._receiver = receiver
        self._clock = clock
        self._counters = counters
        self.timing = timing
        self._codec = messages.codec()
        self._primary: dict[Address, _LinkProtocol] = {}
        # Two nodes may connect to each other at the same time.  Both streams
        # are kept, and `_primary` has the one that is used for sending.
        self._established: set[_LinkProtocol] = set()
        self._unsent: dict[Address, list[bytes]] = {}
        self._heartbeat = task.LoopingCall(self.beat)
        self._heartbeat.clock = reactor
        self._port: Any = None
        self._turns = turns.Turns(reactor)

    async def listen(self) -> None:
        """Accepts streams and starts the heartbeats."""
        endpoint = endpoints.TCP4ServerEndpoint(
            self._reactor, self._address.port, interface=self._address.host
        )
        factory = protocol.Factory.forProtocol(self.build)
        self._port = await endpoint.listen(factory)
        self._heartbeat.start(self.timing.heartbeat_s, now=False)

    def close(self) -> None:
        """Closes every stream."""
        if self._heartbeat.running:
            self._heartbeat.stop()
        if self._port is not None:
            self._port.stopListening()
        for link in list(self._established):
            link.transport.loseConnection()

    def send(self, address: Address, message: Any) -> None:
        """Sends a message, opening a stream if there is none.

        A message that cannot be sent is dropped.  The sender needs a timeout
        for lost answers anyway, and that covers dropped messages too.
        """
        data = wire.frame(self._codec.pack(message))
        link = self._primary.get(address)
        if link is not None:
            link.write(data)
            return
        queue = self._unsent.get(address)
        if queue is None:
            self._unsent[address] = [data]
            self._connect(address)
        elif len(queue) < MAX_WAITING:
            queue.append(data)
        else:
            self._counters.count("links.dropped")

    def build(self, peer: Address | None = None) -> "_LinkProtocol":
        """Returns the protocol of a new stream.

        Args:
          peer: the address of an outgoing connection, or None for an accepted
            one.
        """
        return _LinkProtocol(self, peer)

    def hello(self) -> bytes:
        """Returns the frame of the handshake message."""
        return self.pack(
            messages.Hello(
                messages.PROTOCOL_VERSION,
                self._name,
                self._address.host,
                self._address.port,
            )
        )

    def pack(self, message: Any) -> bytes:
        """Returns the frame of a message."""
        return wire.frame(self._codec.pack(message))

    def unpack(self, payload: bytes) -> Any:
        """Returns the message of a payload; see `wire.Codec.unpack`."""
        return self._codec.unpack(payload)

    def call_next_turn(self, function: Callable[[], None]) -> turns.Waiting:
        """Calls a function after other connections had their turn."""
        return self._turns.call(function)

    def opened(self, link: "_LinkProtocol") -> None:
        """Registers a stream whose handshake is complete."""
        self._established.add(link)
        self._primary.setdefault(link.peer, link)
        for data in self._unsent.pop(link.peer, []):
            link.write(data)

    def ended(self, link: "_LinkProtocol") -> None:
        """Removes a stream; reports the node as lost if it has no other."""
        self._established.discard(link)
        if self._primary.get(link.peer) is not link:
            return
        del self._primary[link.peer]
        for other in self._established:
            if other.peer == link.peer:
                self._primary[link.peer] = other
                return
        self._receiver.lost(link.peer_name, link.peer)

    def deliver(self, link: "_LinkProtocol", message: Any) -> None:
        """Passes a received message to the receiver."""
        self._receiver.message(link.peer_name, link.peer, message)

    def malformed(self, reason: str) -> None:
        """Counts and logs malformed input, which closes its connection."""
        self._counters.count("links.malformed")
        logging.warning("event=malformed_message reason=%r", reason)

    def beat(self) -> None:
        """Sends heartbeats and closes unresponsive and idle streams."""
        now = self._clock.now()
        for link in list(self._established):
            link.beat(now)

    def now(self) -> float:
        """Returns monotonic time in seconds."""
        return self._clock.now()

    def _connect(self, address: Address) -> None:
        endpoint = endpoints.TCP4ClientEndpoint(
            self._reactor,
            address.host,
            address.port,
            timeout=self.timing.connect_s,
        )
        factory = protocol.Factory.forProtocol(lambda: self.build(address))
        connected = endpoint.connect(factory)
        connected.addErrback(lambda failure: self._connect_failed(address))

    def _connect_failed(self, address: Address) -> None:
        dropped = self._unsent.pop(address, [])
        self._counters.count("links.unreachable")
        self._counters.count("links.dropped", len(dropped))
        self._receiver.lost("", address)


class _LinkProtocol(protocol.Protocol):
    """The protocol of one stream, managed by `Links`."""

    def __init__(self, links: Links, peer: Address | None = None):
        self.peer = peer
        self.peer_name = ""
        self._links = links
        self._frames = wire.FrameDecoder()
        # What was received but not handled yet, and the turn that it waits for.
        self._unhandled: collections.deque[bytes] = collections.deque()
        self._next_turn: turns.Waiting | None = None
        self._received_at = links.now()
        self._used_at = links.now()
        self._established = False

    def connectionMade(self):  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.transport.write(self._links.hello())

    def dataReceived(self, data):  # noqa: N802
        self._received_at = self._links.now()
        try:
            self._unhandled.extend(self._frames.feed(data))
        except wire.MalformedError as e:
            self._abort(e)
        if self._next_turn is None:
            self._handle()

    def _handle(self) -> None:
        """Handles received messages, in several turns if there are many."""
        was_paused = self._next_turn is not None
        self._next_turn = None
        try:
            for _ in range(min(MESSAGES_PER_TURN, len(self._unhandled))):
                payload = self._unhandled.popleft()
                self._received(self._links.unpack(payload))
        except wire.MalformedError as e:
            self._abort(e)
        if self._unhandled:
            self.transport.pauseProducing()
            self._next_turn = self._links.call_next_turn(self._handle)
        elif was_paused:
            self.transport.resumeProducing()

    def _abort(self, error: wire.MalformedError) -> None:
        self._unhandled.clear()
        self._links.malformed(str(error))
        self.transport.abortConnection()

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        while self._unhandled and self._next_turn is not None:
            # What arrived before the end counts.
            self._next_turn.cancel()
            self._handle()
        if self._established:
            self._links.ended(self)

    def write(self, data: bytes) -> None:
        """Sends bytes that are already framed."""
        self._used_at = self._links.now()
        self.transport.write(data)

    def beat(self, now: float) -> None:
        """Sends a heartbeat, or closes an unresponsive or idle stream."""
        if now - self._received_at > self._links.timing.silence_s:
            self.transport.abortConnection()
        elif now - self._used_at > IDLE_S:
            self.transport.loseConnection()
        else:
            self.transport.write(self._links.pack(messages.Heartbeat()))

    def _received(self, message: Any) -> None:
        if not self._established:
            self._handshake(message)
        elif not isinstance(message, messages.Heartbeat):
            self._used_at = self._links.now()
            self._links.deliver(self, message)

    def _handshake(self, message: Any) -> None:
        if not isinstance(message, messages.Hello):
            raise wire.MalformedError(
                f"first message is {type(message).__name__}, expected Hello"
            )
        if message.version != messages.PROTOCOL_VERSION:
            raise wire.MalformedError(
                f"protocol version is {message.version}, "
                f"expected {messages.PROTOCOL_VERSION}"
            )
        self._established = True
        self.peer_name = message.name
        if self.peer is None:
            self.peer = Address(message.host, message.port)
        self._links.opened(self)
