"""What nodes say to each other about versions of the configuration."""

from typing import NamedTuple


class Offer(NamedTuple):
    """The sender has a version in force.

    Attributes:
      version: number of the version.
      digest: SHA-256 of its document, in hexadecimal.
    """

    version: int
    digest: str


class Ask(NamedTuple):
    """A node without a configuration asks which version is in force.

    Attributes:
      nonce: is sent back in the answer.
    """

    nonce: int


class State(NamedTuple):
    """Answers `Ask`.

    Attributes:
      nonce: the nonce of the question.
      version: the version in force at the sender; 0 if none is.
      digest: SHA-256 of its document, in hexadecimal; "" if none is.
    """

    nonce: int
    version: int
    digest: str


class Pull(NamedTuple):
    """Asks for what is newer than the sender's version.

    Attributes:
      version: the version that the sender holds; 0 asks for all of it.
      digest: SHA-256 of its document, in hexadecimal.
    """

    version: int
    digest: str


class Delta(NamedTuple):
    """What turns one version into a later one.

    Attributes:
      parent: the version that the edits apply to.
      version: the version that they make.
      identity: unique id of the apply that made the version.
      author: who applied it.
      digest: SHA-256 of the resulting document, in hexadecimal.
      edits: `delta.Edits` in compressed form.
    """

    parent: int
    version: int
    identity: str
    author: str
    digest: str
    edits: bytes


class DeltaBatch(NamedTuple):
    """Answers `Pull` with deltas, each of which continues the last.

    Attributes:
      deltas: the deltas, the oldest first.
    """

    deltas: tuple[Delta, ...]


class Full(NamedTuple):
    """Answers `Pull` with the whole configuration.

    Attributes:
      value: `version.Accepted` in its stored form, without history.
    """

    value: bytes


class NothingNewer(NamedTuple):
    """Answers `Pull` if the sender has nothing newer in force.

    Attributes:
      version: the version in force at the sender; 0 if none is.
    """

    version: int


Message = Offer | Ask | State | Pull | DeltaBatch | Full | NothingNewer
"""Every message about versions, as `Ledger.received` takes it."""


class Send(NamedTuple):
    """A message to be sent to a peer.

    Attributes:
      peer: name of the node that it goes to.
      message: the message.
    """

    peer: str
    message: Message
