"""Compares a change with the changes that others made in the meantime."""

from typing import NamedTuple

from azureline.config import delta
from azureline.config import version


class Conflict(NamedTuple):
    """Falsy sentinel: another change conflicts; nothing was written.

    Attributes:
      current: the version that the service holds; None if it holds none.
      expected: the version that the request is based on.
      since: edits that others made since `expected`; None if the history no
        longer has them.
      clashing: paths that both the request and others changed.
    """

    current: version.Accepted | None
    expected: int
    since: delta.Edits | None
    clashing: tuple[delta.KeyPath, ...] = ()

    def __bool__(self) -> bool:
        return False


def find_conflict(
    current: version.Accepted | None, expected: int, document: delta.Document
) -> Conflict:
    """Returns a conflict with the edits that others made since `expected`."""
    if current is None:
        return Conflict(None, expected, None)
    before = current.document_at(expected)
    if before is None:
        return Conflict(current, expected, None)
    since = delta.diff(before, current.document)
    mine = delta.diff(before, document)
    return Conflict(current, expected, since, mine.overlap(since))


def find_reverted_change(
    current: version.Accepted | None, document: delta.Document
) -> Conflict | None:
    """Returns a conflict if the document reverts a recent change.

    Files that lack another operator's change hold the values from before that
    change.
    """
    if current is None:
        return None
    mine = delta.diff(current.document, document)
    for entry in current.history:
        before = current.document_at(entry.version)
        if before is None:
            break
        since = delta.diff(before, current.document)
        reverted = tuple(
            path
            for path in mine.overlap(since)
            if delta.get(before, path) == delta.get(document, path)
        )
        if reverted:
            return Conflict(current, entry.version, since, reverted)
    return None


def rebase(conflict: Conflict, document: delta.Document) -> delta.Document:
    """Returns the current document with the request's edits applied.

    Args:
      conflict: a conflict without clashing paths; it gives the version that the
        request is based on.
      document: the document of the request.
    """
    before = conflict.current.document_at(conflict.expected)
    mine = delta.diff(before, document)
    return delta.apply_edits(conflict.current.document, mine)
