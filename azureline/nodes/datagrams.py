"""Datagrams between nodes, for probes and small gossip entries."""

import time
from typing import Any
from typing import Protocol

from absl import logging
from twisted.internet import protocol
from twisted.internet import udp

from azureline.core import wire
from azureline.metrics import counters as metrics

MAX_DATAGRAM_BYTES = 1400
# Datagrams, and seconds, that are handled before other connections get their
# turn. Twisted bounds the bytes alone, and a datagram can be empty.
MAX_PER_TURN = 64
TURN_S = 0.004
# A faulty node can send thousands of malformed datagrams a second.
_LOG_INTERVAL_S = 1.0


class Receiver(Protocol):
    """Handles the messages that a node receives as datagrams."""

    def datagram(self, host: str, port: int, message: Any) -> None:
        """Handles a message of another node."""


class Datagrams(protocol.DatagramProtocol):
    """Owns the UDP socket of one node."""

    def __init__(
        self,
        receiver: Receiver,
        counters: metrics.Counters,
        codec: wire.Codec,
    ):
        """Creates the protocol; `listen` opens the socket.

        Args:
          receiver: handles the received messages.
          counters: counts bytes and malformed input.
          codec: codec of the supported messages.
        """
        self._receiver = receiver
        self._counters = counters
        self._codec = codec

    def send(self, host: str, port: int, message: Any) -> None:
        """Sends a message without a guarantee of delivery."""
        data = self._codec.pack(message)
        if self.transport is None:
            return
        self._counters.count("datagrams.bytes_sent", len(data))
        try:
            self.transport.write(data, (host, port))
        # A record in the store may name an address that cannot be used.
        except (OSError, ValueError, OverflowError) as e:
            logging.info("event=datagram_not_sent reason=%r", str(e))

    def datagramReceived(self, datagram, addr):  # noqa: D102, N802
        try:
            message = self._codec.unpack(datagram)
        except wire.MalformedError as e:
            self._counters.count("datagrams.malformed")
            logging.log_every_n_seconds(
                logging.WARNING,
                "event=malformed_datagram reason=%r",
                _LOG_INTERVAL_S,
                str(e),
            )
            return
        self._receiver.datagram(addr[0], addr[1], message)


class _Port(udp.Port):
    """A UDP port that reads a bounded number of datagrams in each turn."""

    def doRead(self):  # noqa: N802
        """Handles datagrams that have arrived; the reactor calls it."""
        ends_at = time.monotonic() + TURN_S
        for _ in range(MAX_PER_TURN):
            try:
                datagram, addr = self.socket.recvfrom(self.maxPacketSize)
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionRefusedError:
                # A datagram that was sent earlier found no listener.
                continue
            try:
                self.protocol.datagramReceived(datagram, addr)
            except Exception:  # A message of a peer must not close the port.
                logging.exception("event=datagram_failed host=%s", addr[0])
            if time.monotonic() > ends_at:
                return


def listen(reactor: Any, handler: Datagrams, host: str, port: int) -> Any:
    """Opens the UDP socket of a node and returns its listening port.

    Args:
      reactor: the Twisted reactor.
      handler: handles the datagrams.
      host: IP address of the node.
      port: number of the port.
    """
    opened = _Port(port, handler, host, reactor=reactor)
    opened.startListening()
    return opened
