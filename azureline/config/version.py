"""The stored form of an accepted configuration in the platform's service."""

from typing import Any
from typing import NamedTuple

from azureline.config import delta

KEY = "config/current"
MAX_VALUE_BYTES = 1_000_000
HISTORY_LENGTH = 32


class HistoryEntry(NamedTuple):
    """An earlier version, kept so that a change can be traced or undone.

    Attributes:
      version: number of the version.
      identity: unique id of the apply that made it.
      author: name of the operator who applied it.
      undo: edits that turn the next version's document into this one's; None
        if they were dropped to keep the value within `MAX_VALUE_BYTES`.
    """

    version: int
    identity: str
    author: str
    undo: delta.Edits | None


class Accepted(NamedTuple):
    """A configuration that was accepted by compare-and-swap.

    Attributes:
      version: grows by one with each accepted change.
      identity: unique id of the apply that made it.
      author: name of the operator who applied it.
      parent: the version that it replaced, or 0.
      digest: SHA-256 of the document, in hexadecimal.
      document: the plain configuration, with every option present.
      history: earlier versions, the latest first.
    """

    version: int
    identity: str
    author: str
    parent: int
    digest: str
    document: delta.Document
    history: tuple[HistoryEntry, ...] = ()

    def document_at(self, version: int) -> delta.Document | None:
        """Returns the document of an earlier version, or None if dropped."""
        document = self.document
        if version == self.version:
            return document
        for entry in self.history:
            if entry.undo is None:
                return None
            document = delta.apply_edits(document, entry.undo)
            if isinstance(document, delta.Mismatch):
                return None
            if entry.version == version:
                return document
        return None

    def version_made_by(self, identity: str) -> int:
        """Returns the version that the apply with this id made, or 0."""
        if identity == self.identity:
            return self.version
        for entry in self.history:
            if entry.identity == identity:
                return entry.version
        return 0


class TooLarge(NamedTuple):
    """Falsy sentinel: the configuration is larger than `MAX_VALUE_BYTES`.

    Attributes:
      size: size of the configuration in bytes, compressed and without history.
    """

    size: int

    def __bool__(self) -> bool:
        return False


def next_version(
    current: Accepted | None,
    document: delta.Document,
    author: str,
    identity: str,
    above: int = 0,
) -> Accepted:
    """Returns the version that follows the current one.

    Args:
      current: the accepted version, or None.
      document: the new plain configuration.
      author: name of the operator who applies it.
      identity: unique id of the apply.
      above: number that the new version must exceed.
    """
    parent = current.version if current else 0
    history: tuple[HistoryEntry, ...] = ()
    if current:
        undo = delta.diff(document, current.document)
        entry = HistoryEntry(parent, current.identity, current.author, undo)
        history = (entry, *current.history)[:HISTORY_LENGTH]
    return Accepted(
        version=max(parent, above) + 1,
        identity=identity,
        author=author,
        parent=parent,
        digest=delta.digest(document),
        document=document,
        history=history,
    )


def encode(accepted: Accepted) -> bytes | TooLarge:
    """Returns the stored form, with the undo edits that fit the size limit."""
    undo_count = len(accepted.history)
    while True:
        history = tuple(
            entry if index < undo_count else entry._replace(undo=None)
            for index, entry in enumerate(accepted.history)
        )
        data = delta.pack(_to_plain(accepted._replace(history=history)))
        if len(data) <= MAX_VALUE_BYTES:
            return data
        if not undo_count:
            return TooLarge(len(data))
        undo_count //= 2


def decode(data: bytes) -> Accepted:
    """Returns the configuration that a stored value holds.

    Raises:
      delta.MalformedError: if the value is not a configuration, or its digest
        is not that of the document.
    """
    plain = delta.unpack(data)
    try:
        fields = {name: plain[name] for name in Accepted._fields}
        fields["history"] = tuple(
            _history_entry(*entry) for entry in plain["history"]
        )
        accepted = Accepted(**fields)
    except (TypeError, KeyError, AttributeError) as e:
        raise delta.MalformedError(f"no configuration: {e}") from None
    if not isinstance(accepted.version, int) or accepted.version < 1:
        raise delta.MalformedError(f"version {accepted.version!r}")
    if not isinstance(accepted.document, dict):
        raise delta.MalformedError("the document is no object")
    if accepted.digest != delta.digest(accepted.document):
        raise delta.MalformedError("the digest does not fit the document")
    return accepted


def _history_entry(
    version: int, identity: str, author: str, undo: Any
) -> HistoryEntry:
    edits = None if undo is None else delta.edits_from_plain(undo)
    return HistoryEntry(version, identity, author, edits)


def _to_plain(accepted: Accepted) -> dict[str, Any]:
    history = [
        [
            entry.version,
            entry.identity,
            entry.author,
            None if entry.undo is None else delta.edits_to_plain(entry.undo),
        ]
        for entry in accepted.history
    ]
    return accepted._replace(history=tuple(history))._asdict()
