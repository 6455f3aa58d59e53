"""Compares a change with those that others made in the meantime."""

from typing import NamedTuple

from azureline.config import delta
from azureline.config import version


class Conflict(NamedTuple):
    """Falsy sentinel: another change is in the way; nothing was written.

    Attributes:
      current: what the service holds now; None if it holds nothing.
      expected: the version that the request started from.
      since: what others changed since; None if that is no longer known.
      clashing: paths that both this request and others changed.
    """

    current: version.Accepted | None
    expected: int
    since: delta.Edits | None
    clashing: tuple[delta.KeyPath, ...] = ()

    def __bool__(self) -> bool:
        return False


def between(
    current: version.Accepted | None, expected: int, document: delta.Document
) -> Conflict:
    """Returns a conflict that says what others changed since `expected`."""
    if current is None:
        return Conflict(None, expected, None)
    before = current.document_at(expected)
    if before is None:
        return Conflict(current, expected, None)
    since = delta.diff(before, current.document)
    mine = delta.diff(before, document)
    return Conflict(current, expected, since, mine.overlap(since))


def undone(
    current: version.Accepted | None, document: delta.Document
) -> Conflict | None:
    """Returns a conflict if the document takes back a recent change.

    Files that were edited without a change that others made in the meantime
    hold the values from before that change.
    """
    if current is None:
        return None
    mine = delta.diff(current.document, document)
    for past in current.history:
        before = current.document_at(past.version)
        if before is None:
            break
        since = delta.diff(before, current.document)
        taken_back = tuple(
            path
            for path in mine.overlap(since)
            if delta.get(before, path) == delta.get(document, path)
        )
        if taken_back:
            return Conflict(current, past.version, since, taken_back)
    return None


def rebase(conflict: Conflict, document: delta.Document) -> delta.Document:
    """Returns the current document with the edits that made `document`.

    Args:
      conflict: says where the edits started from; nothing clashes.
      document: the document that they led to.
    """
    before = conflict.current.document_at(conflict.expected)
    mine = delta.diff(before, document)
    return delta.apply(conflict.current.document, mine)
