"""Runs the slots that this node owns and caches the state of all engines.

The owner of an engine's slot polls the engine, sends its orders and publishes
its state by gossip.
"""

from collections.abc import Callable
import functools
import hashlib
import random
from typing import Any
from typing import Protocol

from absl import logging
from twisted.internet import defer
from twisted.internet import task

from azureline.at_most_once import key as key_lib
from azureline.backends import http
from azureline.config import schema
from azureline.core import clock as clocks
from azureline.core import wire
from azureline.fleet import directory as directories
from azureline.fleet import engine_controller
from azureline.fleet import engine_memory
from azureline.fleet import engine_messages
from azureline.fleet import limits
from azureline.fleet import messages as fleet_messages
from azureline.fleet import ownership
from azureline.fleet import ownership_task
from azureline.metrics import counters as metrics
from azureline.nodes import neighbours as neighbours_lib
from azureline.platform import interface

ENGINE_SLOTS = 256
ENGINE_SLOT_PREFIX = "engines/"
HOLDER_PREFIX = "own/"
PLANNER_SLOT = "planner/0"
MAX_ORDER_LIFETIME_S = (
    engine_memory.ORDER_TRAVEL_MAX_S
    + engine_memory.ORDER_EXPIRY_MAX_S
    + engine_memory.CLOCK_MARGIN_S
)
SHARE_REQUEST_INTERVAL_S = 0.25
_RECORD_CODEC = wire.Codec({1: ownership.Record})


class SlotHandler(Protocol):
    """Runs the work that comes with the ownership of a slot."""

    def acquired(self, name: str, epoch: int) -> None:
        """Starts a term with the fencing token `epoch`."""

    def renewed(self, name: str, until: float) -> None:
        """Extends the lease to the monotonic time `until`, in seconds."""

    def lost(self, name: str) -> None:
        """Ends the term."""


def slot_of(engine: str) -> str:
    """Returns the slot whose owner sends an engine's orders.

    The mapping does not depend on the configuration, so that two nodes cannot
    both own an engine while they have different configurations in force.
    """
    data = hashlib.blake2b(engine.encode(), digest_size=2).digest()
    return f"{ENGINE_SLOT_PREFIX}{int.from_bytes(data, 'big') % ENGINE_SLOTS}"


class SlotManager:
    """Takes and releases slots; runs an engine controller per engine slot."""

    def __init__(
        self,
        reactor: Any,
        identity: str,
        clock: clocks.Clock,
        rng: random.Random,
        neighbours: neighbours_lib.Neighbours,
        key_value: interface.KeyValue,
        backends: http.BackendClient,
        directory: directories.Directory,
        counters: metrics.Counters,
        poll_s: float,
    ):
        """Creates the manager; it takes no slot before `configure` is called.

        Args:
          reactor: the Twisted reactor.
          identity: identity of this process.
          clock: source of time.
          rng: source of jitter.
          neighbours: sends and receives messages and gossip entries.
          key_value: client of the platform's key-value store.
          backends: sends orders and reads reports.
          directory: updated with the engine state that slot owners publish.
          counters: counts orders and malformed gossip entries.
          poll_s: interval in seconds at which an engine's report is read.
        """
        self._reactor = reactor
        self._identity = identity
        self._clock = clock
        self._rng = rng
        self._neighbours = neighbours
        self._key_value = key_value
        self._backends = backends
        self._directory = directory
        self._counters = counters
        self._poll_s = poll_s
        self._config: schema.Configuration | None = None
        self._ownership: ownership_task.OwnershipTask | None = None
        self._controllers: dict[str, engine_controller.EngineController] = {}
        self._slot_handlers: dict[str, SlotHandler] = {ENGINE_SLOT_PREFIX: self}
        self._borrower = limits.Borrower(
            f"{neighbours.membership.name}/{identity[:8]}"
        )
        self._refused_loads = 0
        self._share_loop = task.LoopingCall(self._request_share)
        self._share_loop.clock = reactor
        self._holder_handler: Callable[[str], None] = lambda name: None
        self._replicas_handler: Callable[[set[str]], None] = lambda models: None
        self._crash_handler: Callable[[str, str], None] = lambda e, i: None
        neighbours.on_entry(
            engine_controller.VIEW_KEY_PREFIX, self._on_engine_view
        )
        neighbours.on_entry(HOLDER_PREFIX, self._on_holder_entry)
        neighbours.on_member(lambda member: self._update_live_nodes())
        for cls in (
            engine_messages.MoveRequest,
            engine_messages.AdapterRequest,
        ):
            neighbours.on_message(cls, self._on_engine_message)
        neighbours.on_message(limits.Share, self._on_share)

    def on_replicas_changed(self, handler: Callable[[set[str]], None]) -> None:
        """Sets the handler of the names of models whose replicas changed."""
        self._replicas_handler = handler

    def on_crash(self, handler: Callable[[str, str], None]) -> None:
        """Sets the handler of each crash: engine and crashed incarnation."""
        self._crash_handler = handler

    def add_slot_handler(self, prefix: str, handler: SlotHandler) -> None:
        """Has slots whose names start with `prefix` run by `handler`."""
        self._slot_handlers[prefix] = handler

    def configure(self, config: schema.Configuration) -> None:
        """Applies the configuration in force."""
        self._config = config
        names = _slot_names(config)
        if self._ownership is None:
            self._ownership = self._make_ownership(names)
            self._ownership.start()
            self._share_loop.start(SHARE_REQUEST_INTERVAL_S, now=False)
            self._update_live_nodes()
        else:
            self._ownership.add_names(names)
        # A gossip entry is delivered once.  Those that arrived before their
        # slot was known are read from the store here.
        for entry in self._neighbours.membership.store.with_prefix(
            HOLDER_PREFIX
        ):
            self._on_holder_entry(entry, self._neighbours.membership.name)
        for slot, controller in self._controllers.items():
            controller.post(self._configuration_for(slot))

    def holder(self, name: str) -> str:
        """Returns the last known holder of a slot, or ""."""
        return self._ownership.holder(name) if self._ownership else ""

    def owner_of(self, engine: str) -> str:
        """Returns the node that sends an engine's orders, or ""."""
        return self.holder(slot_of(engine))

    def reacquire(self, name: str, epoch: int) -> None:
        """Reacquires a slot with a higher epoch than another owner's."""
        if self._ownership is not None:
            self._ownership.reacquire(name, epoch)

    def on_holder(self, handler: Callable[[str], None]) -> None:
        """Sets the handler of the names of slots with a new holder."""
        self._holder_handler = handler

    def may_act(self, name: str, max_transit_s: float) -> bool:
        """Returns whether a message sent now arrives within a slot's lease.

        Args:
          name: name of the slot.
          max_transit_s: upper bound in seconds on the message's transit time.
        """
        return self._ownership is not None and self._ownership.may_act(
            name, max_transit_s
        )

    def predecessor_done_at(
        self, name: str, epoch: int, max_transit_s: float
    ) -> float:
        """Returns when no message of a slot's former holder can still arrive.

        Args:
          name: name of the slot, which this node holds.
          epoch: the term that has begun; the first one has no former holder.
          max_transit_s: upper bound in seconds on the transit time of a
            holder's messages.

        Returns:
          Monotonic time in seconds.
        """
        if epoch == 1:
            return self._clock.now()
        return self._ownership.predecessor_done_at(name, max_transit_s)

    def release(self) -> defer.Deferred[None]:
        """Releases all slots; see `OwnershipTask.release`."""
        if self._ownership is None:
            return defer.succeed(None)
        return self._ownership.release()

    async def close(self) -> None:
        """Stops the engine controllers and the ownership task."""
        if self._share_loop.running:
            self._share_loop.stop()
        for controller in list(self._controllers.values()):
            await controller.stop()
        self._controllers.clear()
        if self._ownership is not None:
            await self._ownership.stop()

    def acquired(self, name: str, epoch: int) -> None:
        """Starts the controller of a slot of engines."""
        self.lost(name)
        controller = engine_controller.EngineController(
            self._reactor,
            self._neighbours.membership.name,
            name,
            epoch,
            self.predecessor_done_at(name, epoch, MAX_ORDER_LIFETIME_S),
            self._clock,
            self._peers(name),
            self._counters,
            self._poll_s,
        )
        self._controllers[name] = controller
        controller.start()
        controller.post(self._configuration_for(name))

    def renewed(self, name: str, until: float) -> None:
        """Does nothing: controllers check the lease before each order."""

    def lost(self, name: str) -> None:
        """Stops the controller of a slot of engines."""
        controller = self._controllers.pop(name, None)
        if controller is not None:
            controller.stop()

    def _make_ownership(
        self, names: tuple[str, ...]
    ) -> ownership_task.OwnershipTask:
        info = self._neighbours.membership.info
        return ownership_task.OwnershipTask(
            self._reactor,
            self._neighbours.membership.name,
            self._identity,
            f"{info.host}:{info.port}",
            names,
            self._key_value,
            self._clock,
            self._rng,
            ownership_task.Events(
                lambda n, epoch: self._slot_handler(n).acquired(n, epoch),
                lambda n, until: self._slot_handler(n).renewed(n, until),
                lambda n: self._slot_handler(n).lost(n),
                self._publish_holder,
            ),
        )

    def _slot_handler(self, name: str) -> SlotHandler:
        prefix, slash, _ = name.partition("/")
        return self._slot_handlers[prefix + slash]

    def _peers(self, slot: str) -> engine_controller.Peers:
        return engine_controller.Peers(
            backends=self._backends,
            url=self._directory.url,
            publish=self._neighbours.publish,
            reply=self._neighbours.send,
            may_act=functools.partial(self.may_act, slot),
            planner_epoch=self._planner_epoch,
            acquire_load_permit=self._acquire_load_permit,
            release_load_permit=self._borrower.ended,
        )

    def _planner_epoch(self) -> int:
        return (
            self._ownership.known_epoch(PLANNER_SLOT) if self._ownership else 0
        )

    def _acquire_load_permit(self) -> bool:
        if self._borrower.start(self._clock.now()):
            return True
        self._refused_loads += 1
        self._request_share()
        return False

    def _request_share(self) -> None:
        """Requests a share of the adapter load limit if one is due."""
        request = self._borrower.next_request(
            self._clock.now(), self._refused_loads
        )
        if request is None:
            return
        self._refused_loads = 0
        planner = self.holder(PLANNER_SLOT)
        if planner:
            self._neighbours.send(planner, request)

    def _on_share(self, sender: str, share: limits.Share) -> None:
        self._borrower.share_received(self._clock.now(), share)

    def _configuration_for(self, slot: str) -> engine_controller.Configure:
        engines = {
            name: engine
            for name, engine in self._config.model_engines.items()
            if slot_of(name) == slot
        }
        return engine_controller.Configure(engines, self._config)

    def _on_engine_message(self, sender: str, message: Any) -> None:
        controller = self._controllers.get(slot_of(message.engine))
        if controller is not None:
            controller.post(engine_controller.PeerMessage(sender, message))
        elif isinstance(message, engine_messages.MoveRequest):
            done = engine_messages.MoveDone(
                message.move_id, message.engine, "not_owner"
            )
            self._neighbours.send(sender, done)

    def _on_engine_view(
        self, entry: fleet_messages.GossipEntry, source: str
    ) -> None:
        engine = entry.key.removeprefix(engine_controller.VIEW_KEY_PREFIX)
        try:
            view = engine_controller.parse_view(entry.value)
        except wire.MalformedError:
            self._counters.count("rumours.malformed")
            return
        before = self._directory.views.get(engine)
        self._directory.update_view(engine, view)
        models = {h.name for h in view.models}
        if before is not None:
            models |= {h.name for h in before.models}
            if before.incarnation != view.incarnation:
                logging.warning("event=engine_restarted engine=%s", engine)
                self._crash_handler(engine, before.incarnation)
        self._replicas_handler(models)

    def _publish_holder(self, name: str, record: ownership.Record) -> None:
        self._neighbours.publish(
            HOLDER_PREFIX + name,
            record.epoch,
            1 if record.holder else 2,
            0,
            _RECORD_CODEC.pack(record),
        )

    def _on_holder_entry(
        self, entry: fleet_messages.GossipEntry, source: str
    ) -> None:
        if self._ownership is None:
            return
        try:
            record = _RECORD_CODEC.unpack(entry.value)
        except wire.MalformedError:
            self._counters.count("rumours.malformed")
            return
        name = entry.key.removeprefix(HOLDER_PREFIX)
        self._ownership.record_received(name, record)
        self._holder_handler(name)

    def _update_live_nodes(self) -> None:
        if self._ownership is not None:
            self._ownership.set_live_nodes(self._neighbours.names())


def _slot_names(config: schema.Configuration) -> tuple[str, ...]:
    names = {slot_of(engine) for engine in config.model_engines}
    names |= {f"once/{i}" for i in range(key_lib.SLOTS)}
    return (PLANNER_SLOT, *sorted(names))
