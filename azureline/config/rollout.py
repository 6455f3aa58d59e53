"""Summarizes which version is in force on which VM."""

import enum
from typing import Any
from typing import NamedTuple


class Standing(enum.Enum):
    """State of a VM with respect to the newest version."""

    IN_FORCE = "in force"
    BEHIND = "BEHIND"
    MISSING = "MISSING"
    DEAD = "dead"


class VmVersion(NamedTuple):
    """The version on one VM.

    Attributes:
      name: name of the VM.
      domain: its failure domain.
      state: its state in the status of the queried node, or "unknown".
      version: the version that it last reported to have in force, or 0.
      standing: its state with respect to the newest version; MISSING if the
        platform lists the VM and the queried node does not know it.
    """

    name: str
    domain: str
    state: str
    version: int
    standing: Standing


class Expected(NamedTuple):
    """Version and VMs according to the platform.

    Attributes:
      accepted: the version that the platform's service holds, or 0.
      domains: failure domains of the entry VMs in the platform's list that are
        not leaving, by VM name.
    """

    accepted: int
    domains: dict[str, str]


class Rollout(NamedTuple):
    """Progress of the newest version over the VMs.

    Attributes:
      newest: the newest known version; 0 if there is none.
      vms: all entry VMs, by name.
    """

    newest: int
    vms: tuple[VmVersion, ...]

    def count(self, *standings: Standing) -> int:
        """Returns the number of VMs with one of these standings."""
        return sum(vm.standing in standings for vm in self.vms)

    @property
    def complete(self) -> bool:
        """Whether the newest version is in force on every live VM."""
        outdated = self.count(Standing.BEHIND, Standing.MISSING)
        return self.newest > 0 and not outdated


def summarize(nodes: list[dict[str, Any]], expected: Expected) -> Rollout:
    """Returns the progress of the newest version over the VMs.

    Args:
      nodes: the nodes of an operators' status document.
      expected: version and VMs according to the platform; empty if the platform
        was not queried.
    """
    versions = [node["config_version"] for node in nodes]
    newest = max([expected.accepted, *versions])
    vms = [_vm_version(node, newest) for node in nodes]
    names = {vm.name for vm in vms}
    vms += [
        VmVersion(name, domain, "unknown", 0, Standing.MISSING)
        for name, domain in expected.domains.items()
        if name not in names
    ]
    return Rollout(newest, tuple(sorted(vms, key=lambda vm: vm.name)))


def _vm_version(node: dict[str, Any], newest: int) -> VmVersion:
    version = node["config_version"]
    standing = Standing.BEHIND
    if node["state"] == "dead":
        standing = Standing.DEAD
    elif version == newest > 0:
        standing = Standing.IN_FORCE
    return VmVersion(
        node["name"], node["domain"], node["state"], version, standing
    )
