"""The messages of streams and datagrams between nodes, and their codec."""

from typing import NamedTuple

from azureline.at_most_once import messages as once_messages
from azureline.config import messages as config_messages
from azureline.core import wire
from azureline.fleet import demand_aggregation
from azureline.fleet import engine_messages
from azureline.fleet import limits
from azureline.fleet import messages as fleet_messages

PROTOCOL_VERSION = 1


class Hello(NamedTuple):
    """Handshake of a stream; another protocol version is rejected.

    Attributes:
      version: the sender's `PROTOCOL_VERSION`.
      name: name of the sender's VM.
      host: IP address at which the sender accepts streams.
      port: port at which the sender accepts streams.
    """

    version: int
    name: str
    host: str
    port: int


class Heartbeat(NamedTuple):
    """Sent at intervals to show that the connection still works."""


MESSAGES: dict[int, type] = {
    60: Hello,
    61: Heartbeat,
    **fleet_messages.MESSAGES,
    **engine_messages.MESSAGES,
    **demand_aggregation.MESSAGES,
    55: limits.ShareRequest,
    56: limits.Share,
    40: config_messages.Offer,
    41: config_messages.VersionQuery,
    42: config_messages.VersionReply,
    43: config_messages.Pull,
    44: config_messages.Delta,
    45: config_messages.DeltaBatch,
    46: config_messages.FullConfiguration,
    47: config_messages.NothingNewer,
    **once_messages.MESSAGES,
}


def codec() -> wire.Codec:
    """Returns the codec of all messages between nodes."""
    return wire.Codec(MESSAGES)
