"""Messages between nodes for membership and gossip."""

from typing import NamedTuple


class GossipEntry(NamedTuple):
    """A versioned gossip entry that spreads to every node.

    Attributes:
      key: subject of the entry, such as "member/vm-1".
      epoch: first part of the version; the higher one wins.
      sequence: second part of the version.
      ttl_s: seconds after which the entry expires; 0 means never.
      value: the content, packed by the module that owns the key's prefix.
    """

    key: str
    epoch: int
    sequence: int
    ttl_s: int
    value: bytes

    @property
    def version(self) -> tuple[int, int]:
        """The version by which two entries of one key are ordered."""
        return (self.epoch, self.sequence)


class MemberInfo(NamedTuple):
    """A node's description of itself.

    Attributes:
      host: IP address for links and datagrams.
      port: port for links and datagrams.
      http_port: port of the HTTP interface for callers.
      domain: its failure domain.
      region: its region.
      config_version: version of its configuration in force; 0 if none.
      leaving: whether it is shutting down.
    """

    host: str
    port: int
    http_port: int
    domain: str
    region: str
    config_version: int
    leaving: bool


class Ping(NamedTuple):
    """Probes whether a node is alive, and carries gossip entries.

    Attributes:
      sequence: number that the acknowledgement repeats.
      sender: name of the probing node.
      digest: digest of the sender's gossip entries.
      entries: gossip entries that the sender passes on.
    """

    sequence: int
    sender: str
    digest: bytes
    entries: tuple[GossipEntry, ...]


class Ack(NamedTuple):
    """Acknowledges a `Ping`.

    A helper forwards it to the sender of the `PingRequest`.
    """

    sequence: int
    sender: str
    digest: bytes
    entries: tuple[GossipEntry, ...]


class PingRequest(NamedTuple):
    """Requests that the receiver probe a node on behalf of the sender."""

    sequence: int
    sender: str
    target: str


class Gossip(NamedTuple):
    """Carries urgent gossip entries; it needs no reply."""

    sender: str
    entries: tuple[GossipEntry, ...]


class SyncPull(NamedTuple):
    """Requests all gossip entries in the buckets whose digests differ.

    Attributes:
      sender: name of the requesting node.
      host: its IP address, for a receiver that does not know it yet.
      port: its link port.
      buckets: the digests of the sender's buckets; b"" requests all entries.
    """

    sender: str
    host: str
    port: int
    buckets: bytes


class SyncPush(NamedTuple):
    """Answers a `SyncPull`.

    Attributes:
      sender: name of the replying node.
      entries: the gossip entries of the differing buckets.
      buckets: the sender's bucket digests, so that the receiver can push back
        entries that the sender lacks; b"" if no reply is wanted.
    """

    sender: str
    entries: tuple[GossipEntry, ...]
    buckets: bytes


MESSAGES: dict[int, type] = {
    1: GossipEntry,
    2: MemberInfo,
    3: Ping,
    4: Ack,
    5: PingRequest,
    6: Gossip,
    7: SyncPull,
    8: SyncPush,
}
