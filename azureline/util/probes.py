"""Whether a peer's TCP port accepts connections."""

import enum
from typing import Any

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import error
from twisted.internet import protocol

from azureline.util import http1


class Probe(enum.Enum):
    """What became of a connection that was opened to look."""

    ACCEPTED = "accepted"
    REFUSED = "refused"  # The host says that nothing listens there.
    SILENT = "silent"  # Nothing came back, or the way is broken.


async def probe(
    reactor: Any, address: http1.Address, timeout_s: float
) -> Probe:
    """Opens a connection and closes it at once.

    Args:
      reactor: the Twisted reactor.
      address: the peer.
      timeout_s: seconds to wait for its answer.
    """
    endpoint = endpoints.TCP4ClientEndpoint(
        reactor, address.host, address.port, timeout=timeout_s
    )
    factory = protocol.Factory.forProtocol(protocol.Protocol)
    try:
        connection = await endpoint.connect(factory)
    except error.ConnectionRefusedError:
        return Probe.REFUSED
    except (error.ConnectError, defer.CancelledError):
        return Probe.SILENT
    connection.transport.abortConnection()
    return Probe.ACCEPTED
