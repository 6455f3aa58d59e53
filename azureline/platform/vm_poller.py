"""Polls the platform's VM list on a few nodes and gossips its changes.

Rendezvous hashing over the live nodes selects the nodes that read.  The rate of
reads at the platform is therefore independent of the number of nodes, and when
a reader fails, the other readers go on without a hand-over.
"""

import hashlib
from typing import Any

from absl import logging
from twisted.internet import defer
from twisted.internet import task

from azureline.core import clock as clocks
from azureline.core import wire
from azureline.fleet import messages as fleet_messages
from azureline.nodes import neighbours as neighbours_lib
from azureline.platform import interface

READERS = 3
KEY_PREFIX = "vm/"
REMOVED_VM_TTL_S = 600
_CODEC = wire.Codec({1: interface.Vm})
_BACKEND_ROLES = ("engine", "ledger", "service")


def parse(entry: fleet_messages.GossipEntry) -> interface.Vm | None:
    """Returns the VM in a gossip entry, or None if the VM is gone.

    Raises:
      MalformedError: if the entry's value is not a VM.
    """
    if not entry.value:
        return None
    return _CODEC.unpack(entry.value)


def is_reader(name: str, nodes: list[str], subject: str) -> bool:
    """Returns whether a node is one of the readers of a subject.

    Args:
      name: the node.
      nodes: the live nodes.
      subject: name of what is read; each subject has its own readers.
    """
    ranked = sorted(nodes, key=lambda node: _weight(subject, node))
    return name in ranked[:READERS]


class VmPoller:
    """Polls the VM list while this node is one of the list's readers."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        neighbours: neighbours_lib.Neighbours,
        vms: interface.VmList,
        interval_s: float,
    ):
        """Creates the poller.

        Args:
          reactor: the Twisted reactor.
          clock: source of time.
          neighbours: publishes the changes by gossip.
          vms: the platform's VM list.
          interval_s: seconds between two reads.
        """
        self._clock = clock
        self._neighbours = neighbours
        self._vms = vms
        self._interval_s = interval_s
        self._loop = task.LoopingCall(self._poll)
        self._loop.clock = reactor

    def start(self) -> None:
        """Starts polling."""
        self._loop.start(self._interval_s)

    def close(self) -> None:
        """Stops polling."""
        if self._loop.running:
            self._loop.stop()

    def _poll(self) -> defer.Deferred[None]:
        return defer.ensureDeferred(self._poll_once())

    async def _poll_once(self) -> None:
        name = self._neighbours.membership.name
        if not is_reader(name, self._neighbours.names(), "vm-list"):
            return
        listed = await self._vms.list()
        if isinstance(listed, interface.Unavailable):
            logging.info("event=vm_list_unavailable reason=%r", listed.reason)
            return
        present = {v.name: v for v in listed if v.role in _BACKEND_ROLES}
        for vm in present.values():
            self._publish(KEY_PREFIX + vm.name, 0, _CODEC.pack(vm))
        store = self._neighbours.membership.store
        for entry in store.with_prefix(KEY_PREFIX):
            gone = entry.key.removeprefix(KEY_PREFIX) not in present
            if gone and entry.value:
                self._publish(entry.key, REMOVED_VM_TTL_S, b"")

    def _publish(self, key: str, ttl_s: int, value: bytes) -> None:
        current = self._neighbours.membership.store.get(key)
        if current is not None and current.value == value:
            return
        epoch_ms = int(self._clock.wall() * 1000)
        if current is not None:
            epoch_ms = max(epoch_ms, current.epoch + 1)
        self._neighbours.publish(key, epoch_ms, 0, ttl_s, value)


def _weight(subject: str, node: str) -> bytes:
    text = f"{subject}\0{node}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
