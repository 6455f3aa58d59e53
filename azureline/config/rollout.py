"""Which version is in force on which VM."""

import enum
from typing import Any
from typing import NamedTuple


class Standing(enum.Enum):
    """How a VM stands to the newest version."""

    IN_FORCE = "in force"
    BEHIND = "BEHIND"
    MISSING = "MISSING"
    DEAD = "dead"


class VmVersion(NamedTuple):
    """The version on one VM.

    Attributes:
      name: name of the VM.
      domain: its failure domain.
      state: its state as the asked node sees it, or "unknown".
      version: the version that it was last known to have in force, or 0.
      standing: how it stands to the newest version; MISSING if the platform
        lists the VM and no node knows of it.
    """

    name: str
    domain: str
    state: str
    version: int
    standing: Standing


class Expected(NamedTuple):
    """What the platform says about the VMs and their version.

    Attributes:
      accepted: the version that its service holds, or 0.
      domains: failure domains of the entry VMs that its list names and that
        are not leaving, by VM name.
    """

    accepted: int
    domains: dict[str, str]


class Rollout(NamedTuple):
    """How far the newest version has come.

    Attributes:
      newest: the newest version that is known of; 0 if there is none.
      vms: all entry VMs, by name.
    """

    newest: int
    vms: tuple[VmVersion, ...]

    def count(self, *standings: Standing) -> int:
        """Returns how many VMs stand in one of these ways."""
        return sum(vm.standing in standings for vm in self.vms)

    @property
    def complete(self) -> bool:
        """Whether the newest version is in force on every live VM."""
        lacking = self.count(Standing.BEHIND, Standing.MISSING)
        return self.newest > 0 and not lacking


def summarize(nodes: list[dict[str, Any]], expected: Expected) -> Rollout:
    """Returns how far the newest version has come.

    Args:
      nodes: the nodes of an operators' status document.
      expected: what the platform says, as far as it was asked.
    """
    versions = [node["config_version"] for node in nodes]
    newest = max([expected.accepted, *versions])
    vms = [_known(node, newest) for node in nodes]
    names = {vm.name for vm in vms}
    vms += [
        VmVersion(name, domain, "unknown", 0, Standing.MISSING)
        for name, domain in expected.domains.items()
        if name not in names
    ]
    return Rollout(newest, tuple(sorted(vms, key=lambda vm: vm.name)))


def _known(node: dict[str, Any], newest: int) -> VmVersion:
    version = node["config_version"]
    standing = Standing.BEHIND
    if node["state"] == "dead":
        standing = Standing.DEAD
    elif version == newest > 0:
        standing = Standing.IN_FORCE
    return VmVersion(
        node["name"], node["domain"], node["state"], version, standing
    )
