"""Leased ownership of named slots through the platform's service."""

from collections.abc import Iterable
import random
from typing import NamedTuple

from azureline.platform import interface

KEY_PREFIX = "own/"


class Record(NamedTuple):
    """Who owns a slot, as kept at `own/NAME`.

    Attributes:
      holder: name of the node, or "" if it has been released.
      epoch: grows with each change of holder; the fencing number.
      identity: identity of the holder's process, unique for each start.
      address: where the holder is reached.
      renewals: grows with each write.
    """

    holder: str
    epoch: int
    identity: str
    address: str
    renewals: int


class Read(NamedTuple):
    """Read `own/NAME` and report it by `read_result`.

    Attributes:
      name: name of the slot.
    """

    name: str


class Write(NamedTuple):
    """Compare-and-swap `own/NAME` and report it by `write_result`.

    Attributes:
      name: name of the slot.
      value: the new value.
      version: the version that the record must have.
    """

    name: str
    value: bytes
    version: int


class Acquired(NamedTuple):
    """This node owns the slot from now on.

    Attributes:
      name: name of the slot.
      epoch: the fencing number.
    """

    name: str
    epoch: int


class Renewed(NamedTuple):
    """The lease of a slot that this node owns has been prolonged.

    Attributes:
      name: name of the slot.
      until: monotonic time in seconds at which the node stops acting.
    """

    name: str
    until: float


class Lost(NamedTuple):
    """This node no longer owns the slot.

    Attributes:
      name: name of the slot.
    """

    name: str


class HolderSeen(NamedTuple):
    """A record with a new holder has been read; tell other nodes.

    Attributes:
      name: name of the slot.
      record: the record.
    """

    name: str
    record: Record


Effect = Read | Write | Acquired | Renewed | Lost | HolderSeen


class Ownership:
    """Decides which slots this node takes, keeps and gives up."""

    def __init__(
        self,
        node: str,
        identity: str,
        address: str,
        names: Iterable[str],
        now: float,
        rng: random.Random,
    ):
        """Creates the state of a node that owns nothing.

        Args:
          node: name of this node.
          identity: identity of this process, unique for each start.
          address: where other nodes reach this one.
          names: the slots, such as "once/0" or "planner".
          now: monotonic time in seconds.
          rng: source of jitter.
        """

    def wake_at(self) -> float:
        """Returns the time at which `tick` must be called."""
        raise NotImplementedError

    def tick(self, now: float) -> list[Effect]:
        """Renews what is owned and polls what this node may have to take."""
        raise NotImplementedError

    def live(self, now: float, nodes: Iterable[str]) -> list[Effect]:
        """Learns which nodes are alive, this one included."""
        raise NotImplementedError

    def hint(self, now: float, name: str, record: Record) -> list[Effect]:
        """Learns a record from another node."""
        raise NotImplementedError

    def read_result(
        self,
        now: float,
        name: str,
        result: interface.Entry | None | interface.Unavailable,
    ) -> list[Effect]:
        """Takes the result of a `Read`."""
        raise NotImplementedError

    def write_result(
        self,
        now: float,
        name: str,
        result: interface.Entry | interface.Conflict | interface.Unavailable,
    ) -> list[Effect]:
        """Takes the result of a `Write`."""
        raise NotImplementedError

    def release(self, now: float) -> list[Effect]:
        """Stops acting and gives up all slots, for a graceful shutdown."""
        raise NotImplementedError

    def holder(self, name: str) -> Record | None:
        """Returns the last known record of a slot; it may be out of date."""
        raise NotImplementedError

    def epoch(self, name: str) -> int:
        """Returns the epoch under which this node owns a slot, or 0."""
        raise NotImplementedError

    def may_act(self, now: float, name: str, travel_s: float = 0.0) -> bool:
        """Whether an order sent now arrives while this node still owns.

        Args:
          now: monotonic time in seconds, read immediately before sending.
          name: name of the slot.
          travel_s: the longest time in seconds that the order may travel.
        """
        raise NotImplementedError

    def successor_ready(self, name: str, travel_s: float) -> float:
        """Returns when a new holder may order engines that ignore fences.

        Args:
          name: name of the slot.
          travel_s: the longest time in seconds that an order may travel.
        """
        raise NotImplementedError
