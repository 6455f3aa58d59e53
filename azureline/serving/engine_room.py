"""What this node owns, and what it knows of engines through their owners."""

from collections.abc import Callable
import functools
import hashlib
import random
from typing import Any
from typing import Protocol

from absl import logging
from twisted.internet import defer
from twisted.internet import task

from azureline.backends import http
from azureline.config import schema
from azureline.core import clock as clocks
from azureline.core import wire
from azureline.fleet import book
from azureline.fleet import directory as directories
from azureline.fleet import engine_messages
from azureline.fleet import keeper as keeper_lib
from azureline.fleet import limits
from azureline.fleet import messages as fleet_messages
from azureline.fleet import ownership
from azureline.fleet import owning as owning_lib
from azureline.metrics import counters as metrics
from azureline.nodes import neighbours as neighbours_lib
from azureline.once import key as key_lib
from azureline.platform import interface

ENGINE_SLOTS = 256
ENGINES = "engines/"
OWNERS = "own/"
PLANNER = "planner/0"
ORDER_LIFE_S = (
    book.ORDER_TRAVEL_MAX_S + book.ORDER_EXPIRY_MAX_S + book.CLOCK_MARGIN_S
)
BORROW_S = 0.25
_RECORDS = wire.Codec({1: ownership.Record})


class SlotOwner(Protocol):
    """Runs whatever the ownership of a slot entails."""

    def acquired(self, name: str, epoch: int) -> None:
        """Starts a term."""

    def renewed(self, name: str, until: float) -> None:
        """Learns that the term is prolonged."""

    def lost(self, name: str) -> None:
        """Ends a term."""


def slot_of(engine: str) -> str:
    """Returns the slot whose owner sends an engine's orders.

    The mapping never depends on the configuration, so that no two owners
    can claim one engine while a configuration changes.
    """
    data = hashlib.blake2b(engine.encode(), digest_size=2).digest()
    return f"{ENGINES}{int.from_bytes(data, 'big') % ENGINE_SLOTS}"


class EngineRoom:
    """Owns the node's slots and its keepers of engines."""

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
        """Creates the room; nothing is owned until a configuration comes.

        Args:
          reactor: the Twisted reactor.
          identity: identity of this process.
          clock: source of time.
          rng: source of jitter.
          neighbours: carries messages and rumours.
          key_value: the platform's service.
          backends: sends orders and reads reports.
          directory: kept up to date with what owners tell.
          counters: counts orders.
          poll_s: seconds between two reports of an engine.
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
        self._owning: owning_lib.Owning | None = None
        self._keepers: dict[str, keeper_lib.Keeper] = {}
        self._slot_owners: dict[str, SlotOwner] = {ENGINES: self}
        self._borrower = limits.Borrower(
            f"{neighbours.membership.name}/{identity[:8]}"
        )
        self._short = 0
        self._loop = task.LoopingCall(self._borrow_more)
        self._loop.clock = reactor
        self._on_holder: Callable[[str], None] = lambda name: None
        self._on_views: Callable[[set[str]], None] = lambda models: None
        self._on_crash: Callable[[str, str], None] = lambda e, i: None
        neighbours.on_rumour(keeper_lib.PREFIX, self._view_heard)
        neighbours.on_rumour(OWNERS, self._holder_heard)
        neighbours.on_member(lambda member: self._tell_live())
        for cls in (
            engine_messages.MoveRequest,
            engine_messages.AdapterWanted,
        ):
            neighbours.on_message(cls, self._on_asked)
        neighbours.on_message(limits.Share, self._on_share)

    def on_views(self, handler: Callable[[set[str]], None]) -> None:
        """Has the models whose replicas changed handed over."""
        self._on_views = handler

    def on_crash(self, handler: Callable[[str, str], None]) -> None:
        """Has the engine and incarnation of each ended run handed over."""
        self._on_crash = handler

    def add_slot_owner(self, prefix: str, owner: SlotOwner) -> None:
        """Has another kind of slot run by `owner`."""
        self._slot_owners[prefix] = owner

    def configure(self, config: schema.Configuration) -> None:
        """Takes the configuration in force."""
        self._config = config
        names = _slot_names(config)
        if self._owning is None:
            self._owning = self._make_owning(names)
            self._owning.start()
            self._loop.start(BORROW_S, now=False)
            self._tell_live()
        else:
            self._owning.add_names(names)
        # A rumour is handed over once, even if its slot was not known yet.
        for rumour in self._neighbours.membership.store.with_prefix(OWNERS):
            self._holder_heard(rumour, self._neighbours.membership.name)
        for slot, keeper in self._keepers.items():
            keeper.post(self._configuration_of(slot))

    def holder(self, name: str) -> str:
        """Returns the last known holder of a slot, or ""."""
        return self._owning.holder(name) if self._owning else ""

    def owner_of(self, engine: str) -> str:
        """Returns the node that owns an engine's orders, or ""."""
        return self.holder(slot_of(engine))

    def outbid(self, name: str, epoch: int) -> None:
        """Takes a slot again above an epoch that was found elsewhere."""
        if self._owning is not None:
            self._owning.outbid(name, epoch)

    def on_holder(self, handler: Callable[[str], None]) -> None:
        """Has the name of each slot with a new holder handed over."""
        self._on_holder = handler

    def may_act(self, name: str, travel_s: float) -> bool:
        """Returns whether what is sent now arrives within a slot's lease."""
        return self._owning is not None and self._owning.may_act(name, travel_s)

    def settled_at(self, name: str, epoch: int, travel_s: float) -> float:
        """Returns when nothing of a slot's former holder can arrive any more.

        Args:
          name: name of the slot, which this node holds.
          epoch: the term that has begun.
          travel_s: the longest time that what the holder sends may travel.
        """
        if epoch == 1:
            return self._clock.now()
        return self._owning.successor_ready(name, travel_s)

    def release(self) -> defer.Deferred[None]:
        """Gives up all slots; see `Owning.release`."""
        if self._owning is None:
            return defer.succeed(None)
        return self._owning.release()

    async def close(self) -> None:
        """Stops the keepers and the ownership."""
        if self._loop.running:
            self._loop.stop()
        for keeper in list(self._keepers.values()):
            await keeper.stop()
        self._keepers.clear()
        if self._owning is not None:
            await self._owning.stop()

    def acquired(self, name: str, epoch: int) -> None:
        """Starts the keeper of a slot of engines."""
        self.lost(name)
        keeper = keeper_lib.Keeper(
            self._reactor,
            self._neighbours.membership.name,
            name,
            epoch,
            self.settled_at(name, epoch, ORDER_LIFE_S),
            self._clock,
            self._peers(name),
            self._counters,
            self._poll_s,
        )
        self._keepers[name] = keeper
        keeper.start()
        keeper.post(self._configuration_of(name))

    def renewed(self, name: str, until: float) -> None:
        """Does nothing: keepers ask before each order."""

    def lost(self, name: str) -> None:
        """Stops the keeper of a slot of engines."""
        keeper = self._keepers.pop(name, None)
        if keeper is not None:
            keeper.stop()

    def _make_owning(self, names: tuple[str, ...]) -> owning_lib.Owning:
        info = self._neighbours.membership.info
        return owning_lib.Owning(
            self._reactor,
            self._neighbours.membership.name,
            self._identity,
            f"{info.host}:{info.port}",
            names,
            self._key_value,
            self._clock,
            self._rng,
            owning_lib.Events(
                lambda n, epoch: self._slot_owner(n).acquired(n, epoch),
                lambda n, until: self._slot_owner(n).renewed(n, until),
                lambda n: self._slot_owner(n).lost(n),
                self._holder_seen,
            ),
        )

    def _slot_owner(self, name: str) -> SlotOwner:
        prefix, slash, _ = name.partition("/")
        return self._slot_owners[prefix + slash]

    def _peers(self, slot: str) -> keeper_lib.Peers:
        return keeper_lib.Peers(
            backends=self._backends,
            url=self._directory.url,
            tell=self._neighbours.tell,
            reply=self._neighbours.send,
            may_act=functools.partial(self.may_act, slot),
            planner_epoch=self._planner_epoch,
            borrow=self._borrow,
            give_back=self._borrower.ended,
        )

    def _planner_epoch(self) -> int:
        return self._owning.hinted_epoch(PLANNER) if self._owning else 0

    def _borrow(self) -> bool:
        if self._borrower.start(self._clock.now()):
            return True
        self._short += 1
        self._borrow_more()
        return False

    def _borrow_more(self) -> None:
        """Asks the planner for a share of the adapter loads if one is due."""
        wish = self._borrower.ask(self._clock.now(), self._short)
        if wish is None:
            return
        self._short = 0
        planner = self.holder(PLANNER)
        if planner:
            self._neighbours.send(planner, wish)

    def _on_share(self, sender: str, share: limits.Share) -> None:
        self._borrower.granted(self._clock.now(), share)

    def _configuration_of(self, slot: str) -> keeper_lib.Configure:
        engines = {
            name: engine
            for name, engine in self._config.model_engines.items()
            if slot_of(name) == slot
        }
        return keeper_lib.Configure(engines, self._config)

    def _on_asked(self, sender: str, message: Any) -> None:
        keeper = self._keepers.get(slot_of(message.engine))
        if keeper is not None:
            keeper.post(keeper_lib.Asked(sender, message))
        elif isinstance(message, engine_messages.MoveRequest):
            done = engine_messages.MoveDone(
                message.move_id, message.engine, "not_owner"
            )
            self._neighbours.send(sender, done)

    def _view_heard(self, rumour: fleet_messages.Rumour, source: str) -> None:
        engine = rumour.key.removeprefix(keeper_lib.PREFIX)
        try:
            view = keeper_lib.parse_view(rumour.value)
        except wire.MalformedError:
            self._counters.count("rumours.malformed")
            return
        before = self._directory.views.get(engine)
        self._directory.set_view(engine, view)
        models = {h.name for h in view.models}
        if before is not None:
            models |= {h.name for h in before.models}
            if before.incarnation != view.incarnation:
                logging.warning("event=engine_restarted engine=%s", engine)
                self._on_crash(engine, before.incarnation)
        self._on_views(models)

    def _holder_seen(self, name: str, record: ownership.Record) -> None:
        self._neighbours.tell(
            OWNERS + name,
            record.epoch,
            1 if record.holder else 2,
            0,
            _RECORDS.pack(record),
        )

    def _holder_heard(self, rumour: fleet_messages.Rumour, source: str) -> None:
        if self._owning is None:
            return
        try:
            record = _RECORDS.unpack(rumour.value)
        except wire.MalformedError:
            self._counters.count("rumours.malformed")
            return
        name = rumour.key.removeprefix(OWNERS)
        self._owning.hint(name, record)
        self._on_holder(name)

    def _tell_live(self) -> None:
        if self._owning is not None:
            self._owning.live(self._neighbours.names())


def _slot_names(config: schema.Configuration) -> tuple[str, ...]:
    names = {slot_of(engine) for engine in config.model_engines}
    names |= {f"once/{i}" for i in range(key_lib.SLOTS)}
    return (PLANNER, *sorted(names))
