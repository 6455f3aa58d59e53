"""Datagrams between nodes, for probes and small gossip entries."""

from typing import Any
from typing import Protocol

from absl import logging
from twisted.internet import protocol

from azureline.core import wire
from azureline.metrics import counters as metrics

MAX_DATAGRAM_BYTES = 1400


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
        """Creates the protocol; the reactor's `listenUDP` opens the socket.

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
            logging.warning("event=malformed_datagram reason=%r", str(e))
            return
        self._receiver.datagram(addr[0], addr[1], message)
