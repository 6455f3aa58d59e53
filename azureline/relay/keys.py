"""Where this system keeps what it agrees on in the platform's store."""

from typing import NamedTuple

import msgpack

ROOT = "azureline/"
NODES = ROOT + "nodes/"
# Leased: who gives an engine's orders now.
HOLDERS = ROOT + "holders/"
# Without a lease: that an engine had a holder at some time.
TURNS = ROOT + "turns/"
# Name under HOLDERS of the planner of a service.
PLANNER = "plan:"


class NodeRecord(NamedTuple):
    """Where a node takes other nodes' datagrams.

    Attributes:
      name: its VM's name.
      host: its IP address.
      port: its UDP port.
      domain: its failure domain.
      link_mbps: speed of its VM's link; 0 if not known.
    """

    name: str
    host: str
    port: int
    domain: str
    link_mbps: int = 0


class HolderRecord(NamedTuple):
    """Who holds something.

    Attributes:
      node: name of the holder's VM.
      identity: identity of the holder's process.
    """

    node: str
    identity: str


class TurnRecord(NamedTuple):
    """The last turn at something, which stays when its holder has gone.

    Attributes:
      node: name of the VM whose turn it was.
      idle_ms: milliseconds from its last order until it gave up the turn; -1
        while it has not given it up.
    """

    node: str
    idle_ms: int = -1


def pack(record: NodeRecord | HolderRecord | TurnRecord) -> bytes:
    """Returns the bytes of a record."""
    return msgpack.packb(list(record))


def node_record(value: bytes) -> NodeRecord | None:
    """Returns a node's record, or None if it cannot be read."""
    fields = _fields(value)
    match fields:
        case [str(), str(), int(), str(), int()]:
            return NodeRecord(*fields)
        case _:
            return None


def holder_record(value: bytes) -> HolderRecord | None:
    """Returns a holder's record, or None if it cannot be read."""
    fields = _fields(value)
    match fields:
        case [str(), str()]:
            return HolderRecord(*fields)
        case _:
            return None


def turn_record(value: bytes) -> TurnRecord | None:
    """Returns a turn's record, or None if it cannot be read."""
    fields = _fields(value)
    match fields:
        case [str(), int()]:
            return TurnRecord(*fields)
        case _:
            return None


def _fields(value: bytes) -> object:
    try:
        return msgpack.unpackb(value)
    except (ValueError, msgpack.exceptions.UnpackException):
        return None
