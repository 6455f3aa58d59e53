"""Workspaces of the operators' configuration, known by their callers' keys."""

from collections.abc import Iterable
import hashlib
from typing import NamedTuple


class Workspace(NamedTuple):
    """A workspace.

    Attributes:
      name: its name, which backend servers are told.
      keys: digests of the keys that its callers show.
      rank: rank of its requests, before that of their route; None for theirs.
    """

    name: str
    keys: frozenset[bytes]
    rank: int | None = None


def digest(key: str) -> bytes:
    """Returns what a key is known by; keys themselves are not kept."""
    return hashlib.sha256(key.encode()).digest()


class Workspaces:
    """Finds the workspace of a key."""

    def __init__(self, workspaces: Iterable[Workspace] = ()):
        """Creates the table of one configuration.

        Args:
          workspaces: the workspaces; a key of several belongs to the first.
        """
        self._by_key: dict[bytes, Workspace] = {}
        for workspace in workspaces:
            for key in workspace.keys:
                self._by_key.setdefault(key, workspace)

    def find(self, key: str) -> Workspace | None:
        """Returns the workspace of a key, or None if nobody holds it."""
        return self._by_key.get(digest(key))
