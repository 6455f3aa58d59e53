"""Messages between nodes about membership and shared knowledge."""

from typing import NamedTuple


class Rumour(NamedTuple):
    """A versioned fact that spreads to every node.

    Attributes:
      key: what the fact is about, such as "member/vm-1".
      epoch: first part of the version; the higher one wins.
      sequence: second part of the version.
      ttl_s: seconds after which the fact is forgotten; 0 keeps it.
      value: the fact, packed by the module that owns the key's prefix.
    """

    key: str
    epoch: int
    sequence: int
    ttl_s: int
    value: bytes

    @property
    def version(self) -> tuple[int, int]:
        """The version by which two rumours of one key are ordered."""
        return (self.epoch, self.sequence)


class MemberInfo(NamedTuple):
    """What a node says about itself.

    Attributes:
      host: IP address for links and datagrams.
      port: port for links and datagrams.
      http_port: port of the callers' interface.
      domain: its failure domain.
      region: its region.
      config_version: the configuration that it has in force; 0 if none.
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
    """Asks a node whether it lives, and carries rumours.

    Attributes:
      sequence: number that the acknowledgement repeats.
      sender: name of the asking node.
      digest: digest of the sender's rumours.
      rumours: news for the receiver.
    """

    sequence: int
    sender: str
    digest: bytes
    rumours: tuple[Rumour, ...]


class Ack(NamedTuple):
    """Answers a `Ping`, or passes on the answer to a `PingRequest`."""

    sequence: int
    sender: str
    digest: bytes
    rumours: tuple[Rumour, ...]


class PingRequest(NamedTuple):
    """Asks the receiver to probe a node on behalf of the sender."""

    sequence: int
    sender: str
    target: str


class Gossip(NamedTuple):
    """Carries urgent rumours without asking for an answer."""

    sender: str
    rumours: tuple[Rumour, ...]


class SyncPull(NamedTuple):
    """Asks for every rumour in the buckets whose digests differ.

    Attributes:
      sender: name of the asking node.
      host: its IP address, for a receiver that does not know it yet.
      port: its link port.
      buckets: the digests of the sender's buckets; b"" asks for all.
    """

    sender: str
    host: str
    port: int
    buckets: bytes


class SyncPush(NamedTuple):
    """Answers a `SyncPull`.

    Attributes:
      sender: name of the answering node.
      rumours: the rumours of the differing buckets.
      buckets: the sender's bucket digests, so that the receiver can push
        what it alone has.
    """

    sender: str
    rumours: tuple[Rumour, ...]
    buckets: bytes


MESSAGES: dict[int, type] = {
    1: Rumour,
    2: MemberInfo,
    3: Ping,
    4: Ack,
    5: PingRequest,
    6: Gossip,
    7: SyncPull,
    8: SyncPush,
}
