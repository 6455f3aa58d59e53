"""Follows the accepted configuration and puts it in force on this node."""

from collections.abc import Callable
import random
from typing import Any

from absl import logging
from twisted.internet import defer
from twisted.internet import task

from azureline.config import schema
from azureline.config import store
from azureline.config import structure
from azureline.config import version as versions
from azureline.core import clock as clocks
from azureline.fleet import messages as fleet_messages
from azureline.metrics import counters as metrics
from azureline.nodes import neighbours as neighbours_lib
from azureline.platform import interface
from azureline.platform import vm_poller

POLL_S = 1.0
KEY = "config/current"
PREFIX = "config/"


class ConfigFollower:
    """Reads new versions from the platform's service when told of them."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        rng: random.Random,
        neighbours: neighbours_lib.Neighbours,
        key_value: interface.KeyValue,
        in_force: Callable[[int, schema.Configuration], None],
        counters: metrics.Counters,
    ):
        """Creates the follower.

        Args:
          reactor: the Twisted reactor.
          clock: source of time.
          rng: source of jitter.
          neighbours: spreads the numbers of new versions.
          key_value: the platform's service.
          in_force: called with each version that comes into force.
          counters: counts versions.
        """
        self._clock = clock
        self._rng = rng
        self._neighbours = neighbours
        self._key_value = key_value
        self._in_force = in_force
        self._counters = counters
        self._version = 0
        self._heard = 0
        self._loop = task.LoopingCall(self._poll)
        self._loop.clock = reactor
        neighbours.on_rumour(PREFIX, self._on_rumour)

    @property
    def version(self) -> int:
        """The version in force on this node; 0 if none is."""
        return self._version

    def start(self) -> None:
        """Starts to follow."""
        self._loop.start(POLL_S)

    def close(self) -> None:
        """Stops following."""
        if self._loop.running:
            self._loop.stop()

    def _poll(self) -> defer.Deferred[None] | None:
        name = self._neighbours.membership.name
        reader = vm_poller.is_reader(name, self._neighbours.names(), "config")
        if reader or self._heard > self._version or not self._version:
            return defer.ensureDeferred(self._read())
        return None

    def _on_rumour(self, rumour: fleet_messages.Rumour) -> None:
        self._heard = max(self._heard, rumour.epoch)
        if self._heard > self._version:
            defer.ensureDeferred(self._read())

    async def _read(self) -> None:
        stored = await store.read(self._key_value)
        if isinstance(stored, (interface.Unavailable, store.Unreadable)):
            logging.info("event=config_unread reason=%r", stored.reason)
            return
        accepted = stored.accepted
        if accepted is None or accepted.version <= self._version:
            return
        self._put_in_force(accepted)

    def _put_in_force(self, accepted: versions.Accepted) -> None:
        config = structure.typed(
            schema.Configuration, accepted.document, strict=False
        )
        if not isinstance(config, schema.Configuration):
            logging.error("event=config_invalid version=%d", accepted.version)
            self._counters.count("config.invalid")
            return
        self._version = accepted.version
        self._neighbours.tell(
            KEY, accepted.version, 0, 0, accepted.digest.encode()
        )
        self._in_force(accepted.version, config)
