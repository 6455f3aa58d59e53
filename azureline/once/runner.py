"""A task that binds a slot's owner to the service and to the entry nodes."""

from collections.abc import Callable
import random
from typing import NamedTuple

from azureline.core import clock as clock_lib
from azureline.core import task
from azureline.once import messages
from azureline.platform import interface


class NodeLost(NamedTuple):
    """An entry node is dead, or the connection to it is.

    Attributes:
      node: name of the node.
    """

    node: str


class Lease(NamedTuple):
    """The ownership has been renewed.

    Attributes:
      until: monotonic time in seconds at which it ends.
    """

    until: float


class Runner(task.Task[messages.Request | NodeLost | Lease]):
    """Owns one slot for one epoch; `post` it requests of entry nodes."""

    def __init__(
        self,
        slot: int,
        epoch: int,
        writer: str,
        key_value: interface.KeyValue,
        send: Callable[[str, messages.Reply], None],
        on_deposed: Callable[[int], None],
        count: Callable[[str], None],
        clock: clock_lib.Clock,
        reactor,
        rng: random.Random,
    ):
        """Creates the task; `start` begins the takeover of the slot.

        Args:
          slot: number of the slot.
          epoch: epoch under which the node owns it.
          writer: identity of this process, unique for each start.
          key_value: the platform's service.
          send: sends a reply to an entry node by name.
          on_deposed: called with the slot when another owner has it.
          count: adds one to the counter of that name.
          clock: the node's clocks.
          reactor: Twisted's reactor, for timers.
          rng: source of jitter.
        """
