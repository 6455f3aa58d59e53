"""Workspaces of the operators' configuration, looked up by API key."""

from collections.abc import Iterable
import hashlib
from typing import NamedTuple


class Quota(NamedTuple):
    """What the requests of a workspace may use, over all nodes together.

    Attributes:
      rate_per_s: tokens, or requests, per second; positive.
      burst: tokens, or requests, that may come at once after a pause.
      counts_tokens: whether requests count as their tokens; otherwise each
        counts as 1.
      plain_tokens: tokens that a request counts as if it states no usage.
    """

    rate_per_s: float
    burst: float
    counts_tokens: bool = False
    plain_tokens: int = 1

    def amount(self, stated_tokens: int) -> int:
        """Returns what a request counts as.

        Args:
          stated_tokens: prompt and output tokens that it states; 0 if none.
        """
        if not self.counts_tokens:
            return 1
        return stated_tokens or self.plain_tokens


class Workspace(NamedTuple):
    """A workspace.

    Attributes:
      name: its name, which is sent to backend servers.
      keys: digests of the API keys of its callers.
      rank: rank of its requests, which overrides the rank of their route; None
        for the rank of the route.
      quota: limit on its requests, or None.
    """

    name: str
    keys: frozenset[bytes]
    rank: int | None = None
    quota: Quota | None = None


def digest(key: str) -> bytes:
    """Returns the digest of an API key; keys themselves are not stored."""
    return hashlib.sha256(key.encode()).digest()


class Workspaces:
    """Looks up the workspace of an API key."""

    def __init__(self, workspaces: Iterable[Workspace] = ()):
        """Creates the lookup table of one configuration.

        Args:
          workspaces: the workspaces; no key belongs to two of them.
        """
        workspaces = tuple(workspaces)
        self._by_name = {w.name: w for w in workspaces}
        self._by_key: dict[bytes, Workspace] = {}
        for workspace in workspaces:
            for key in workspace.keys:
                self._by_key.setdefault(key, workspace)

    def find(self, key: str) -> Workspace | None:
        """Returns the workspace of an API key, or None for an unknown key."""
        return self._by_key.get(digest(key))

    def quota_of(self, name: str) -> Quota | None:
        """Returns the quota of a workspace, or None if none applies."""
        workspace = self._by_name.get(name)
        return workspace.quota if workspace else None

    def with_quota(self) -> dict[str, Quota]:
        """Returns the quotas by the names of their workspaces."""
        return {
            name: workspace.quota
            for name, workspace in self._by_name.items()
            if workspace.quota is not None
        }
