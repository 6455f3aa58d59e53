"""Which version is in force on which VM."""

from typing import Any
from typing import NamedTuple

GONE = ("dead",)


class Rollout(NamedTuple):
    """How far the newest known version has come.

    Attributes:
      newest: the newest version that is known of.
      in_force: names of the live VMs that have it in force.
      behind: the live VMs that have another version, by name.
      gone: the dead VMs and the last version known of them, by name.
    """

    newest: int
    in_force: tuple[str, ...]
    behind: dict[str, int]
    gone: dict[str, int]

    @property
    def complete(self) -> bool:
        """Whether the newest version is in force on every live VM."""
        return bool(self.in_force) and not self.behind


def summarize(nodes: list[dict[str, Any]], accepted: int = 0) -> Rollout:
    """Returns how far the newest version has come.

    Args:
      nodes: the nodes of an operators' status document.
      accepted: the version that the platform's service holds, if known.
    """
    versions = {node["name"]: node["config_version"] for node in nodes}
    gone = {
        node["name"]: node["config_version"]
        for node in nodes
        if node["state"] in GONE
    }
    newest = max([accepted, *versions.values()])
    live = {n: v for n, v in versions.items() if n not in gone}
    return Rollout(
        newest=newest,
        in_force=tuple(n for n, v in live.items() if v == newest > 0),
        behind={n: v for n, v in live.items() if v != newest},
        gone=gone,
    )
