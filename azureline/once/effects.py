"""What the decision code of the slots' owners asks its runner to do."""

from typing import NamedTuple

from azureline.once import messages


class Read(NamedTuple):
    """Read a key of the service and report it by `read_result`.

    Attributes:
      key: the key to read.
    """

    key: str


class Write(NamedTuple):
    """Compare-and-swap a key and report it by `write_result`.

    Attributes:
      key: the key to write.
      value: the new value.
      version: the version that the key must have.
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
    """The slot belongs to another owner now; stop the runner.

    Attributes:
      epoch: the epoch that was found in the log.
    """

    epoch: int


Effect = Read | Write | Send | Deposed
