"""Effects: the actions that a slot's owner asks its runner to perform."""

from typing import NamedTuple

from azureline.at_most_once import messages


class Read(NamedTuple):
    """Read a key of the service and pass the result to `read_result`.

    Attributes:
      key: the key to read.
    """

    key: str


class Write(NamedTuple):
    """Compare-and-swap a key and pass the result to `write_result`.

    Attributes:
      key: the key to write.
      value: the new value.
      version: the version that the key must have; 0 if it must be absent.
    """

    key: str
    value: bytes
    version: int


class Send(NamedTuple):
    """Send a message to an entry node.

    Attributes:
      node: name of the node.
      message: the message.
    """

    node: str
    message: messages.Reply


class Deposed(NamedTuple):
    """A successor owns the slot; stop the runner.

    Attributes:
      epoch: epoch of the successor, as found in the log.
    """

    epoch: int


Effect = Read | Write | Send | Deposed
