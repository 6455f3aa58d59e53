"""Probes whether a peer's TCP port accepts connections."""

import enum
from typing import Any

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import error
from twisted.internet import protocol

from azureline.util import http1


class ProbeResult(enum.Enum):
    """Result of a connection attempt."""

    ACCEPTED = "accepted"
    REFUSED = "refused"  # The host answered that nothing listens.
    SILENT = "silent"  # No answer, or no route to the host.


async def probe(
    reactor: Any, address: http1.Address, timeout_s: float
) -> ProbeResult:
    """Opens a connection and closes it at once.

    Args:
      reactor: the Twisted reactor.
      address: the peer.
      timeout_s: seconds to wait for the connection.
    """
    endpoint = endpoints.TCP4ClientEndpoint(
        reactor, address.host, address.port, timeout=timeout_s
    )
    factory = protocol.Factory.forProtocol(protocol.Protocol)
    try:
        connection = await endpoint.connect(factory)
    except error.ConnectionRefusedError:
        return ProbeResult.REFUSED
    except (error.ConnectError, defer.CancelledError):
        return ProbeResult.SILENT
    connection.transport.abortConnection()
    return ProbeResult.ACCEPTED
