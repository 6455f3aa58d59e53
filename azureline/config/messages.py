"""Messages between nodes about versions of the configuration."""

from typing import NamedTuple


class Offer(NamedTuple):
    """Announces the version that the sender has in force.

    Attributes:
      version: number of the version.
      digest: SHA-256 of its document, in hexadecimal.
    """

    version: int
    digest: str


class VersionQuery(NamedTuple):
    """Queries which version the receiver has in force.

    A node without a version in force sends it.

    Attributes:
      nonce: random number that the reply repeats.
    """

    nonce: int


class VersionReply(NamedTuple):
    """Replies to `VersionQuery`.

    Attributes:
      nonce: the nonce of the query.
      version: the version in force at the sender; 0 if none is.
      digest: SHA-256 of its document, in hexadecimal; "" if none is.
    """

    nonce: int
    version: int
    digest: str


class Pull(NamedTuple):
    """Requests what is newer than the sender's version.

    Attributes:
      version: the version that the sender holds; 0 requests the whole
        configuration.
      digest: SHA-256 of its document, in hexadecimal.
    """

    version: int
    digest: str


class Delta(NamedTuple):
    """Edits that turn one version into a later one.

    Attributes:
      parent: the version that the edits apply to.
      version: the version that results.
      identity: unique id of the apply that made the version.
      author: name of the operator who applied it.
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
    """Replies to `Pull` with consecutive deltas.

    Attributes:
      deltas: the deltas, the oldest first.
    """

    deltas: tuple[Delta, ...]


class FullConfiguration(NamedTuple):
    """Replies to `Pull` with the whole configuration.

    Attributes:
      value: `version.Accepted` in its stored form, without history.
    """

    value: bytes


class NothingNewer(NamedTuple):
    """Replies to `Pull` if the sender has nothing newer in force.

    Attributes:
      version: the version in force at the sender; 0 if none is.
    """

    version: int


Message = (
    Offer
    | VersionQuery
    | VersionReply
    | Pull
    | DeltaBatch
    | FullConfiguration
    | NothingNewer
)
"""Any message that `ConfigReplica.on_message` handles."""


class Outgoing(NamedTuple):
    """A message to send to a peer.

    Attributes:
      peer: name of the receiving node.
      message: the message.
    """

    peer: str
    message: Message
