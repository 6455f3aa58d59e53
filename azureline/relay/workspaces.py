"""Workspaces of the operators' configuration, looked up by API key."""

from collections.abc import Iterable
import hashlib
from typing import NamedTuple


class Workspace(NamedTuple):
    """A workspace.

    Attributes:
      name: its name, which is sent to backend servers.
      keys: digests of the API keys of its callers.
      rank: rank of its requests, which overrides the rank of their route; None
        for the rank of the route.
    """

    name: str
    keys: frozenset[bytes]
    rank: int | None = None


def digest(key: str) -> bytes:
    """Returns the digest of an API key; keys themselves are not stored."""
    return hashlib.sha256(key.encode()).digest()


class Workspaces:
    """Looks up the workspace of an API key."""

    def __init__(self, workspaces: Iterable[Workspace] = ()):
        """Creates the lookup table of one configuration.

        Args:
          workspaces: the workspaces; a key of several workspaces belongs to
            the first.
        """
        self._by_key: dict[bytes, Workspace] = {}
        for workspace in workspaces:
            for key in workspace.keys:
                self._by_key.setdefault(key, workspace)

    def find(self, key: str) -> Workspace | None:
        """Returns the workspace of an API key, or None for an unknown key."""
        return self._by_key.get(digest(key))
