"""Keys and records that the nodes share in the platform's store."""

from typing import NamedTuple

import msgpack

from azureline.platform import eras

ROOT = "azureline/"
NODES = ROOT + "nodes/"
# Bound to a lease: the lease holder of a resource, an engine or a planner.
HOLDERS = ROOT + "holders/"
# Not bound to a lease: the last term of a resource.
TERMS = ROOT + "turns/"
# Not bound to a lease: suspects of crashing servers, and their trials.
SUSPECTS = ROOT + "crash_suspects"
# Not bound to a lease: a configuration that the operators' key has lost.
CONFIG_COPY = ROOT + "config_copy"
# Not bound to a lease: software versions that may have begun open streams.
SOFTWARE_VERSIONS = ROOT + "software_versions"
# Prefix of a planner's resource name, followed by its service.
PLANNER = "plan:"


class NodeRecord(NamedTuple):
    """Address of a node for datagrams of other nodes.

    Attributes:
      name: name of the node's VM.
      host: IP address of the node.
      port: UDP port of the node.
      domain: failure domain of the node.
      link_mbps: bandwidth of the VM's network link in Mbit/s; 0 if unknown.
    """

    name: str
    host: str
    port: int
    domain: str
    link_mbps: int = 0


class HolderRecord(NamedTuple):
    """The lease holder of a resource.

    Attributes:
      node: name of the lease holder's VM.
      identity: unique ID of the lease holder's process.
    """

    node: str
    identity: str


class TermRecord(NamedTuple):
    """The last term of a resource; remains when its lease holder is gone.

    Attributes:
      node: name of the lease holder's VM.
      idle_ms: milliseconds from the last order until the lease holder released
        the term; -1 if it has not released it.
      wait_ms: milliseconds from the claim until the lease holder may send its
        first order; 0 once they have passed.
      era: era of the store in which the record was written.
    """

    node: str
    idle_ms: int = -1
    wait_ms: int = 0
    era: int = eras.FIRST_ERA


def pack(record: NodeRecord | HolderRecord | TermRecord) -> bytes:
    """Returns the encoded record."""
    fields = list(record)
    if isinstance(record, TermRecord) and record.era == eras.FIRST_ERA:
        fields.pop()  # Earlier versions know no eras.
    return msgpack.packb(fields)


def node_record(value: bytes) -> NodeRecord | None:
    """Returns the decoded node record; None if it is malformed."""
    fields = _decode(value)
    match fields:
        case [str(), str(), int(), str(), int()]:
            return NodeRecord(*fields)
        case _:
            return None


def holder_record(value: bytes) -> HolderRecord | None:
    """Returns the decoded holder record; None if it is malformed."""
    fields = _decode(value)
    match fields:
        case [str(), str()]:
            return HolderRecord(*fields)
        case _:
            return None


def term_record(value: bytes) -> TermRecord | None:
    """Returns the decoded term record; None if it is malformed."""
    fields = _decode(value)
    match fields:
        case (
            [str(), int()]
            | [str(), int(), int()]
            | [str(), int(), int(), int()]
        ):
            return TermRecord(*fields)
        case _:
            return None


def _decode(value: bytes) -> object:
    try:
        return msgpack.unpackb(value)
    except (ValueError, msgpack.exceptions.UnpackException):
        return None
