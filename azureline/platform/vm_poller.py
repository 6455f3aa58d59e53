"""Reads the platform's VM list on a few nodes and spreads its changes.

Every node may be chosen by rendezvous hashing over the live nodes, so the
platform's service sees a constant number of reads however many nodes there
are, and the loss of a reader is covered by the others without a hand-over.
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
PREFIX = "vm/"
GONE_TTL_S = 600
_CODEC = wire.Codec({1: interface.Vm})
_BACKEND_ROLES = ("engine", "ledger", "service")


def parse(rumour: fleet_messages.GossipEntry) -> interface.Vm | None:
    """Returns the VM that a rumour is about, or None if it is gone.

    Raises:
      MalformedError: if the rumour's value is not a VM.
    """
    if not rumour.value:
        return None
    return _CODEC.unpack(rumour.value)


def is_reader(name: str, nodes: list[str], subject: str) -> bool:
    """Returns whether a node is one of the readers of some subject.

    Args:
      name: the node.
      nodes: the live nodes.
      subject: what is read; it selects other readers for other subjects.
    """
    ranked = sorted(nodes, key=lambda node: _weight(subject, node))
    return name in ranked[:READERS]


class VmPoller:
    """Polls the list while this node is one of its readers."""

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
          neighbours: spreads the changes.
          vms: the platform's list.
          interval_s: seconds between two reads.
        """
        self._clock = clock
        self._neighbours = neighbours
        self._vms = vms
        self._interval_s = interval_s
        self._loop = task.LoopingCall(self._poll)
        self._loop.clock = reactor

    def start(self) -> None:
        """Starts to poll."""
        self._loop.start(self._interval_s)

    def close(self) -> None:
        """Stops polling."""
        if self._loop.running:
            self._loop.stop()

    def _poll(self) -> defer.Deferred[None]:
        return defer.ensureDeferred(self._read())

    async def _read(self) -> None:
        name = self._neighbours.membership.name
        if not is_reader(name, self._neighbours.names(), "vm-list"):
            return
        listed = await self._vms.list()
        if isinstance(listed, interface.Unavailable):
            logging.info("event=vm_list_unavailable reason=%r", listed.reason)
            return
        present = {v.name: v for v in listed if v.role in _BACKEND_ROLES}
        for vm in present.values():
            self._tell(PREFIX + vm.name, 0, _CODEC.pack(vm))
        store = self._neighbours.membership.store
        for rumour in store.with_prefix(PREFIX):
            gone = rumour.key.removeprefix(PREFIX) not in present
            if gone and rumour.value:
                self._tell(rumour.key, GONE_TTL_S, b"")

    def _tell(self, key: str, ttl_s: int, value: bytes) -> None:
        held = self._neighbours.membership.store.get(key)
        if held is not None and held.value == value:
            return
        stamp = int(self._clock.wall() * 1000)
        if held is not None:
            stamp = max(stamp, held.epoch + 1)
        self._neighbours.publish(key, stamp, 0, ttl_s, value)


def _weight(subject: str, node: str) -> bytes:
    text = f"{subject}\0{node}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
