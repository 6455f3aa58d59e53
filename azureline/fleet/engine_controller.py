"""Engine controller: reads the reports of a slot's engines and orders them.

A node runs one controller for each engine slot that it owns.  No other node
sends orders to these engines while the lease of the slot lasts.
"""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple
import uuid

from absl import logging
from twisted.internet import defer
from twisted.internet import task as twisted_task

from azureline.backends import http
from azureline.backends import interface
from azureline.config import schema
from azureline.core import clock as clocks
from azureline.core import task
from azureline.core import wire
from azureline.fleet import adapter_loads
from azureline.fleet import directory as directories
from azureline.fleet import engine_memory
from azureline.fleet import engine_messages
from azureline.metrics import counters as metrics

MISSED_REPORTS = 3
"""Consecutive missed reports after which an engine counts as unreachable."""

ORDER_EXPIRES_S = 3.0

VIEW_REFRESH_S = 1800.0
"""Interval at which an unchanged engine view is published again."""

MOVES_REMEMBERED = 256
"""Results kept per engine to answer repeated move requests."""

FREE_MEMORY_STEPS = 512
"""Number of steps to which the published free memory is rounded."""

ADAPTER_LOAD_S = 0.02
"""Usual duration of an adapter load, after which it counts as loaded."""

VIEW_KEY_PREFIX = "engine/"
_CODEC = wire.Codec({1: directories.EngineView, 2: directories.HeldModel})

Publish = Callable[[str, int, int, int, bytes], None]
Reply = Callable[[str, Any], None]


def parse_view(value: bytes) -> directories.EngineView:
    """Returns the engine view in the value of a gossip entry.

    Raises:
      MalformedError: if the value is not a packed `EngineView`.
    """
    view = _CODEC.unpack(value)
    if not isinstance(view, directories.EngineView):
        raise wire.MalformedError(
            f"expected an EngineView, got {type(view).__name__}"
        )
    return view


class Configure(NamedTuple):
    """Sets the engines of the slot and the configuration in force."""

    engines: dict[str, schema.Engine]
    config: schema.Configuration


class _Poll(NamedTuple):
    """Requests a report from each engine."""


class _Reported(NamedTuple):
    engine: str
    polled_at: float
    report: Any


class _Answered(NamedTuple):
    engine: str
    order: interface.Order
    result: interface.OrderResult


class _AdapterDue(NamedTuple):
    """The usual duration of an adapter load has passed since its order."""

    engine: str
    adapter: str


class PeerMessage(NamedTuple):
    """A message from another node."""

    sender: str
    message: engine_messages.MoveRequest | engine_messages.AdapterRequest


class Peers(NamedTuple):
    """How a controller reaches engines and other nodes.

    Attributes:
      backends: sends orders and reads reports.
      url: returns the root URL of an engine, or "" if it is unknown.
      publish: publishes a gossip entry: key, epoch, sequence, time to live,
        value.
      reply: sends a message to a node.
      may_act: returns whether an order that is sent now and travels for at
        most the given seconds arrives within the lease.
      planner_epoch: returns the latest known epoch of the planner.
      acquire_load_permit: takes one permit for an adapter load from this
        node's share of the fleet-wide limit; returns False if no permit is
        free.
      release_load_permit: returns a permit taken by `acquire_load_permit`.
    """

    backends: http.BackendClient
    url: Callable[[str], str]
    publish: Publish
    reply: Reply
    may_act: Callable[[float], bool]
    planner_epoch: Callable[[], int]
    acquire_load_permit: Callable[[], bool]
    release_load_permit: Callable[[], None]


class _Engine:
    """The controller's state for one engine."""

    def __init__(
        self, config: schema.Engine, memory: engine_memory.EngineMemory
    ):
        self.config = config
        self.memory = memory
        self.report: interface.Report | None = None
        self.missed = 0
        self.published: directories.EngineView | None = None
        self.published_at = 0.0
        self.moves: dict[str, str] = {}
        self.adapters = adapter_loads.AdapterLoads()


class EngineController(task.Task[Any]):
    """Sends all orders to the engines of one slot."""

    def __init__(
        self,
        reactor: Any,
        node: str,
        slot: str,
        epoch: int,
        settles_at: float,
        clock: clocks.Clock,
        peers: Peers,
        counters: metrics.Counters,
        poll_s: float,
    ):
        """Creates the controller for one term of ownership.

        Args:
          reactor: the Twisted reactor.
          node: name of this node.
          slot: name of the slot.
          epoch: fencing token of the term.
          settles_at: monotonic time in seconds from which engines can no
            longer start an order of a former owner.
          clock: source of monotonic time.
          peers: access to engines and other nodes.
          counters: counts orders by result.
          poll_s: seconds between two polls of an engine.
        """
        super().__init__(f"engine controller {slot}")
        self._reactor = reactor
        self._node = node
        self._epoch = epoch
        self._clock = clock
        self._peers = peers
        self._counters = counters
        self._poll_s = poll_s
        self._settles_at = settles_at
        self._config: schema.Configuration | None = None
        self._engines: dict[str, _Engine] = {}
        self._sequence = 0
        self._loop = twisted_task.LoopingCall(self.post, _Poll())
        self._loop.clock = reactor
        self.exit_stack.callback(self._stop_loop)

    @property
    def memories(self) -> dict[str, engine_memory.EngineMemory]:
        """The memory accounting by engine name."""
        return {name: e.memory for name, e in self._engines.items()}

    def start(self) -> None:
        """Starts polling the engines."""
        super().start()
        self._loop.start(self._poll_s)

    async def handle(self, message: Any) -> None:
        """Acts on one message."""
        match message:
            case Configure(engines, config):
                self._configure(engines, config)
            case _Poll():
                self._poll()
            case _Reported(engine, polled_at, report):
                self._reported(engine, polled_at, report)
            case _Answered():
                self._answered(message)
            case _AdapterDue():
                self._adapter_due(message)
            case PeerMessage(sender, engine_messages.MoveRequest() as move):
                self._move(sender, move)
            case PeerMessage(
                sender, engine_messages.AdapterRequest() as request
            ):
                self._adapter_requested(sender, request)

    def _configure(
        self, engines: dict[str, schema.Engine], config: schema.Configuration
    ) -> None:
        self._config = config
        for name in list(self._engines):
            if name not in engines:
                del self._engines[name]
        sizes = {n: m.memory_bytes for n, m in config.models.items()}
        sizes |= {n: a.memory_bytes for n, a in config.adapters.items()}
        reserve = config.limits.cache_reserve_ratio
        for name, engine in engines.items():
            known = self._engines.get(name)
            if known is not None and known.config == engine:
                continue
            memory = engine_memory.EngineMemory(
                engine.memory_bytes,
                int(engine.memory_bytes * reserve),
                self._settles_at,
                sizes,
            )
            self._engines[name] = _Engine(engine, memory)

    def _poll(self) -> None:
        for name in self._engines:
            url = self._peers.url(name)
            if url:
                defer.ensureDeferred(self._read(name, url))
            else:
                self.post(_Reported(name, 0.0, http.Failure("no VM", False)))

    async def _read(self, name: str, url: str) -> None:
        polled_at = self._clock.now()
        report = await self._peers.backends.fetch_report(url)
        self.post(_Reported(name, polled_at, report))

    def _reported(self, name: str, polled_at: float, report: Any) -> None:
        engine = self._engines.get(name)
        if engine is None:
            return
        # The platform may have given the address to another engine since it
        # listed this one.
        if isinstance(report, http.Failure) or report.engine != name:
            engine.missed += 1
            self._publish(name, engine)
            return
        engine.missed = 0
        if engine.report and engine.report.incarnation != report.incarnation:
            engine.adapters.restarted()
        engine.report = report
        engine.memory.reported(self._clock.now(), report, polled_at)
        self._publish(name, engine)
        self._load_requested(name, engine)

    def _publish(self, name: str, engine: _Engine) -> None:
        """Publishes the view of an engine if it changed or needs a refresh."""
        view = self._view(engine)
        if view is None:
            return
        now = self._clock.now()
        # These two change constantly, so a change in them alone publishes
        # nothing; the next published view carries their current values.
        volatile = {"running": 0, "memory_used": 0}
        unchanged = engine.published is not None and view._replace(
            **volatile
        ) == engine.published._replace(**volatile)
        if unchanged and now - engine.published_at < VIEW_REFRESH_S:
            return
        engine.published = view
        engine.published_at = now
        self._sequence += 1
        self._peers.publish(
            VIEW_KEY_PREFIX + name,
            self._epoch,
            self._sequence,
            0,
            _CODEC.pack(view),
        )

    def _view(self, engine: _Engine) -> directories.EngineView | None:
        report = engine.report
        if report is None:
            return None
        held = tuple(
            directories.HeldModel(
                r.name,
                r.version,
                self._state(engine, r),
                r.bytes_used,
                engine.memory.ready(r.name, r.version),
            )
            for r in report.models
        )
        used = report.cache_bytes + sum(
            r.bytes_used for r in (*report.models, *report.adapters)
        )
        return directories.EngineView(
            owner=self._node,
            incarnation=report.incarnation,
            models=held,
            memory_used=used,
            memory_bytes=report.capacity_bytes,
            free_bytes=self._free_bytes(engine),
            running=report.running,
            draining=report.draining,
            unreachable=engine.missed >= MISSED_REPORTS,
        )

    def _free_bytes(self, engine: _Engine) -> int:
        """Returns the free memory for loads, rounded down to a coarse step.

        Small changes then leave the view unchanged and publish nothing.
        """
        step = max(1, engine.config.memory_bytes // FREE_MEMORY_STEPS)
        return engine.memory.free_bytes(self._clock.now()) // step * step

    def _state(self, engine: _Engine, resident: interface.ResidentModel) -> str:
        """Returns a model's state, "unloading" once an unload is ordered."""
        if resident.state != "ready":
            return resident.state
        ready = engine.memory.reported_ready(resident.name, resident.version)
        return "ready" if ready else "unloading"

    def _move(self, sender: str, move: engine_messages.MoveRequest) -> None:
        engine = self._engines.get(move.engine)
        kind = engine_messages.order_kind(move)
        if engine is None or kind is None:
            self._reply_done(sender, move, "unknown_engine")
            return
        if move.epoch < self._peers.planner_epoch():
            self._reply_done(sender, move, "old_planner")
            return
        if move.move_id in engine.moves:
            self._reply_done(sender, move, engine.moves[move.move_id])
            return
        order = self._order(kind, move.target, move.version, move.bytes_needed)
        reason = self._send(engine, move.engine, order)
        result = reason or interface.OrderResult.ACCEPTED.value
        engine.moves[move.move_id] = result
        while len(engine.moves) > MOVES_REMEMBERED:
            del engine.moves[next(iter(engine.moves))]
        logging.info(
            "event=move engine=%s kind=%s target=%s version=%s result=%s",
            move.engine,
            move.kind,
            move.target,
            move.version,
            result,
        )
        self._reply_done(sender, move, result)

    def _reply_done(
        self, sender: str, move: engine_messages.MoveRequest, result: str
    ) -> None:
        self._counters.count(f"moves.{move.kind}.{result}")
        self._peers.reply(
            sender,
            engine_messages.MoveDone(move.move_id, move.engine, result),
        )

    def _order(
        self,
        kind: interface.OrderKind,
        target: str,
        version: str,
        bytes_needed: int,
    ) -> interface.Order:
        return interface.Order(
            order_id=uuid.uuid4().hex,
            kind=kind,
            target=target,
            version=version,
            fence=self._epoch,
            expires_in_s=ORDER_EXPIRES_S,
            bytes_needed=bytes_needed,
        )

    def _send(self, engine: _Engine, name: str, order: interface.Order) -> str:
        """Sends an order; returns "", or the reason why it was not sent."""
        url = self._peers.url(name)
        if not url:
            return "no_address"
        reserved = engine.memory.reserve(self._clock.now(), order)
        if isinstance(reserved, engine_memory.OrderRefused):
            self._counters.count(reserved.counter)
            return reserved.reason.value
        # The lease is checked last, so that only a pause of the whole process
        # can delay the order between this check and the socket.
        if not self._peers.may_act(engine_memory.ORDER_TRAVEL_MAX_S):
            self._counters.count("orders.lease_too_short")
            return "lease_too_short"
        defer.ensureDeferred(self._transmit(name, url, order))
        return ""

    async def _transmit(
        self, name: str, url: str, order: interface.Order
    ) -> None:
        result = await self._peers.backends.send_order(url, order)
        self.post(_Answered(name, order, result))

    def _answered(self, answered: _Answered) -> None:
        order, result = answered.order, answered.result
        self._counters.count(f"orders.{order.kind.value}.{result.value}")
        engine = self._engines.get(answered.engine)
        if engine is None:
            if order.kind is interface.OrderKind.LOAD_ADAPTER:
                self._peers.release_load_permit()
            return
        engine.memory.answered(self._clock.now(), order.order_id, result)
        if order.kind is not interface.OrderKind.LOAD_ADAPTER:
            return
        if result is interface.OrderResult.ACCEPTED:
            # A load takes milliseconds and a report lags behind it, so the
            # usual duration of a load is the earliest sign of its end.
            done = _AdapterDue(answered.engine, order.target)
            self._reactor.callLater(ADAPTER_LOAD_S, self.post, done)
            return
        self._adapter_load_ended(engine, order.target)
        self._reply_adapter(answered.engine, engine, order.target, result.value)

    def _adapter_due(self, message: "_AdapterDue") -> None:
        engine = self._engines.get(message.engine)
        if engine is None or not engine.adapters.is_loading(message.adapter):
            return
        self._adapter_load_ended(engine, message.adapter)
        engine.adapters.loaded(self._clock.now(), message.adapter)
        self._reply_adapter(message.engine, engine, message.adapter, "")

    def _adapter_load_ended(self, engine: _Engine, adapter: str) -> None:
        engine.adapters.ended(adapter)
        self._peers.release_load_permit()

    def _adapter_requested(
        self, sender: str, request: engine_messages.AdapterRequest
    ) -> None:
        engine = self._engines.get(request.engine)
        if engine is None:
            self._peers.reply(
                sender,
                engine_messages.AdapterReply(
                    request.engine, request.adapter, "", False, "unknown_engine"
                ),
            )
            return
        engine.adapters.add_waiting_node(
            self._clock.now(), request.adapter, sender
        )
        self._load_requested(request.engine, engine)

    def _load_requested(self, name: str, engine: _Engine) -> None:
        for adapter in engine.adapters.requested:
            if engine.adapters.is_loading(adapter):
                continue
            reason = self._load_adapter(name, engine, adapter)
            if reason:
                self._reply_adapter(name, engine, adapter, reason)

    def _load_adapter(self, name: str, engine: _Engine, adapter: str) -> str:
        """Orders a load; returns "", or the reason why none was ordered."""
        if self._config is None or adapter not in self._config.adapters:
            return "unknown_adapter"
        entry = self._config.adapters[adapter]
        now = self._clock.now()
        if engine.adapters.is_held(now, engine.report, adapter, entry.version):
            self._reply_adapter(name, engine, adapter, "")
            return ""
        if not self._peers.acquire_load_permit():
            return "transit_full"
        order = self._order(
            interface.OrderKind.LOAD_ADAPTER,
            adapter,
            entry.version,
            entry.memory_bytes,
        )
        reason = self._send(engine, name, order)
        if reason:
            self._peers.release_load_permit()
            if reason == engine_memory.RefusalReason.NO_ROOM.value:
                self._unload_idle_adapter(name, engine)
            return reason
        engine.adapters.started(adapter)
        return ""

    def _unload_idle_adapter(self, name: str, engine: _Engine) -> None:
        """Unloads the least recently requested adapter, if one is idle."""
        oldest = engine.adapters.pop_idle_adapter(
            self._clock.now(), engine.report
        )
        if oldest is None:
            return
        order = self._order(
            interface.OrderKind.UNLOAD_ADAPTER,
            oldest.name,
            oldest.version,
            oldest.bytes_used,
        )
        self._send(engine, name, order)

    def _reply_adapter(
        self, name: str, engine: _Engine, adapter: str, reason: str
    ) -> None:
        incarnation = engine.report.incarnation if engine.report else ""
        message = engine_messages.AdapterReply(
            name, adapter, incarnation, not reason, reason
        )
        for sender in engine.adapters.pop_waiting_nodes(adapter):
            self._peers.reply(sender, message)

    def _stop_loop(self) -> None:
        if self._loop.running:
            self._loop.stop()
