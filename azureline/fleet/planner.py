"""Plans moves for the whole fleet while this node owns the planner slot.

Plans are computed from soft state: the engine views that slot owners gossip
and the demand that nodes report.  A new planner therefore needs no state from
its predecessor, but it waits until none of the predecessor's requests can
still be in flight.
"""

from collections.abc import Callable
from collections.abc import Mapping
import itertools
import time
from typing import Any
from typing import NamedTuple
import uuid

from absl import logging
from twisted.internet import task as twisted_task

from azureline.backends import interface
from azureline.config import schema
from azureline.core import clock as clocks
from azureline.core import task
from azureline.fleet import demand_estimate
from azureline.fleet import directory as directories
from azureline.fleet import draft
from azureline.fleet import engine_messages
from azureline.fleet import limits
from azureline.fleet import move_executor
from azureline.fleet import placement
from azureline.fleet import plan_types
from azureline.metrics import counters as metrics

STEP_S = 1.0

MAX_REQUEST_TRAVEL_S = 2.0
"""Longest time in seconds that a request takes to reach a slot owner."""

MAX_VIEW_AGE_S = 5.0
"""Longest time in seconds that an engine view may lag behind its report."""

MOVE_COST_S = 20.0
_KINDS = {
    plan_types.MoveKind.LOAD: interface.OrderKind.LOAD_MODEL,
    plan_types.MoveKind.UNLOAD: interface.OrderKind.UNLOAD_MODEL,
    plan_types.MoveKind.SET_ROLE: interface.OrderKind.SET_ROLE,
}


class Configure(NamedTuple):
    """Message: applies the configuration in force."""

    config: schema.Configuration


class MoveReply(NamedTuple):
    """Message: handles a slot owner's reply to a move request."""

    message: engine_messages.MoveDone


class ShareRequested(NamedTuple):
    """Message: handles a node's request for a share of the adapter loads."""

    sender: str
    request: limits.ShareRequest


class _Step(NamedTuple):
    """Message: sends moves that have become possible; replans when due."""


class FleetAccess(NamedTuple):
    """The planner's access to the state of the fleet and to other nodes.

    Attributes:
      directory: the engines, as reported by slot owners and the platform.
      rates: returns the demand by model, in tokens per second.
      owner_of: returns the name of the node that owns the slot of an engine,
        or "" if there is none.
      send: sends a message to a node; returns False if the node is unknown.
      arrives_within_lease: takes a travel time in seconds; returns whether a
        request sent now arrives before this node's lease expires.
      reachable: returns whether a failure domain is reachable.
    """

    directory: directories.Directory
    rates: Callable[[], Mapping[str, float]]
    owner_of: Callable[[str], str]
    send: Callable[[str, Any], bool]
    arrives_within_lease: Callable[[float], bool]
    reachable: Callable[[str], bool]


class Planner(task.Task[Any]):
    """Decides on moves and on load shares for one term as slot owner."""

    def __init__(
        self,
        reactor: Any,
        epoch: int,
        settled_at: float,
        clock: clocks.Clock,
        peers: FleetAccess,
        counters: metrics.Counters,
    ):
        """Creates the planner for one term.

        Args:
          reactor: the Twisted reactor.
          epoch: number of the term, used as the fencing token.
          settled_at: monotonic time in seconds after which no request of a
            previous planner can still be carried out.
          clock: source of time.
          peers: access to the state of the fleet and to other nodes.
          counters: counts moves by cause.
        """
        super().__init__("planner")
        self._epoch = epoch
        self._settled_at = settled_at
        self._clock = clock
        self._peers = peers
        self._counters = counters
        self._config: schema.Configuration | None = None
        self._params = plan_types.Params()
        self._demand = demand_estimate.DemandEstimator()
        self._executor = move_executor.MoveExecutor(self._params)
        self._store: limits.StoreLimit | None = None
        self._lender: limits.Lender | None = None
        self._sent: dict[str, plan_types.Move] = {}
        self._next_plan_at = 0.0
        self._move_numbers = itertools.count()
        self._loop = twisted_task.LoopingCall(self.post, _Step())
        self._loop.clock = reactor
        self.exit_stack.callback(self._stop_loop)

    def start(self) -> None:
        """Starts the periodic planning steps."""
        super().start()
        self._loop.start(STEP_S)

    async def handle(self, message: Any) -> None:
        """Handles one message."""
        match message:
            case Configure(config):
                self._configure(config)
            case _Step():
                self._step(self._clock.now())
            case MoveReply(done):
                self._handle_result(done)
            case ShareRequested(sender, request):
                self._grant_share(sender, request)

    def _configure(self, config: schema.Configuration) -> None:
        before = self._config.limits if self._config else None
        self._config = config
        self._params = params_of(config.policy)
        self._executor.set_params(self._params)
        settled_at = self._settled_at
        if before is not None:
            # Loads and shares that were granted under the previous limits
            # must end before the new limits apply in full.
            settled_at = (
                self._clock.now()
                + limits.SHARE_DURATION_S
                + limits.SHARE_MARGIN_S
            )
        cap = config.limits
        if before is None or (
            before.adapters_in_transit != cap.adapters_in_transit
        ):
            self._lender = limits.Lender(cap.adapters_in_transit, settled_at)
        if before is None or (
            (before.store_loads_per_s, before.store_loads_at_once)
            != (cap.store_loads_per_s, cap.store_loads_at_once)
        ):
            self._store = limits.StoreLimit(
                cap.store_loads_per_s, cap.store_loads_at_once, settled_at
            )

    def _step(self, now: float) -> None:
        if self._config is None or now < self._settled_at:
            return
        engines = self._engines()
        models = self._models()
        if now >= self._next_plan_at:
            self._plan(now, models, engines)
        self._release_permits(now, engines)
        names = [engine.name for engine in engines]
        permits = self._store.free(now, names)
        for move in self._executor.next_moves(now, models, engines, permits):
            self._request_move(now, move, names)

    def _plan(
        self,
        now: float,
        models: tuple[plan_types.Model, ...],
        engines: tuple[plan_types.Engine, ...],
    ) -> None:
        """Computes a new plan and schedules the next one.

        The pause grows with the processor time that the plan took.
        """
        started = time.thread_time()
        self._demand.observe(now, self._peers.rates())
        fleet = draft.PlanInput(
            models,
            engines,
            self._executor.pending,
            self._executor.last_changes,
        )
        proposed = placement.plan(fleet, self._demand.rates, self._params, now)
        self._executor.add_planned(now, proposed)
        self._next_plan_at = now + placement.pause_after(
            time.thread_time() - started, self._config.policy.plan_interval_s
        )

    def _release_permits(
        self, now: float, engines: tuple[plan_types.Engine, ...]
    ) -> None:
        """Frees the permits of finished loads and counts inherited loads.

        Inherited loads hold no permit of this planner, such as those that an
        earlier planner ordered.
        """
        pending = {p.move for p in self._executor.pending}
        known = {engine.name for engine in engines}
        in_flight = {
            (engine.name, r.model)
            for engine in engines
            for r in engine.replicas
            if r.state is plan_types.State.LOADING or not r.safe_from_unload
        }
        for move_id, move in list(self._sent.items()):
            if move not in pending:
                self._store.load_ended(move_id)
                del self._sent[move_id]
            elif (
                move.engine in known
                and (move.engine, move.target) not in in_flight
            ):
                self._store.load_absent_from_report(
                    move_id, now - MAX_VIEW_AGE_S
                )
        own = {(m.engine, m.target) for m in self._sent.values()}
        for engine in engines:
            loading = sum(
                1
                for r in engine.replicas
                if r.state is plan_types.State.LOADING
                and (engine.name, r.model) not in own
            )
            self._store.unpermitted_loads_reported(
                engine.name, now - MAX_VIEW_AGE_S, loading
            )

    def _request_move(
        self, now: float, move: plan_types.Move, names: list[str]
    ) -> None:
        owner = self._peers.owner_of(move.engine)
        if not owner or not self._peers.arrives_within_lease(
            MAX_REQUEST_TRAVEL_S
        ):
            self._executor.discard(move)
            return
        move_id = (
            f"{self._epoch}.{next(self._move_numbers)}.{uuid.uuid4().hex[:8]}"
        )
        if move.kind is plan_types.MoveKind.LOAD:
            permit = self._store.request_permit(
                now, move_id, move.engine, names
            )
            if not permit:
                self._executor.discard(move)
                return
        self._sent[move_id] = move
        self._counters.count(move.counter)
        logging.info(
            "event=move_ordered id=%s kind=%s engine=%s target=%s cause=%s",
            move_id,
            move.kind.value,
            move.engine,
            move.target,
            move.cause.value,
        )
        self._peers.send(
            owner,
            engine_messages.MoveRequest(
                move_id=move_id,
                epoch=self._epoch,
                engine=move.engine,
                kind=_KINDS[move.kind].value,
                target=move.target,
                version=move.version,
                bytes_needed=move.bytes,
            ),
        )

    def _handle_result(self, done: engine_messages.MoveDone) -> None:
        move = self._sent.get(done.move_id)
        if move is None or done.result == interface.OrderResult.ACCEPTED.value:
            return
        logging.info(
            "event=move_refused id=%s engine=%s reason=%s",
            done.move_id,
            done.engine,
            done.result,
        )
        self._counters.count(f"moves.refused.{done.result}")
        self._executor.discard(move)

    def _grant_share(self, sender: str, request: limits.ShareRequest) -> None:
        if self._lender is None or not self._peers.arrives_within_lease(
            limits.SHARE_DURATION_S
        ):
            return
        share = self._lender.handle(self._clock.now(), request)
        self._peers.send(sender, share)

    def _models(self) -> tuple[plan_types.Model, ...]:
        return tuple(
            plan_types.Model(
                name=name,
                version=model.version,
                bytes=model.memory_bytes,
                min_replicas=model.min_replicas,
                rate=model.tokens_per_s,
            )
            for name, model in sorted(self._config.models.items())
        )

    def _engines(self) -> tuple[plan_types.Engine, ...]:
        """Returns the reachable engines, as their slot owners report them."""
        vms = self._peers.directory.vms
        views = self._peers.directory.views
        engines = []
        for name, entry in sorted(self._config.model_engines.items()):
            view, vm = views.get(name), vms.get(name)
            if view is None or vm is None or view.unreachable:
                continue
            if self._peers.reachable(vm.domain):
                leaving = vm.leaving or view.draining
                engines.append(self._engine(name, entry, view, leaving))
        return tuple(engines)

    def _engine(
        self,
        name: str,
        entry: schema.Engine,
        view: directories.EngineView,
        leaving: bool,
    ) -> plan_types.Engine:
        reserve = self._config.limits.cache_reserve_ratio
        replicas = tuple(
            plan_types.Replica(
                held.name,
                held.version,
                held.bytes_used,
                plan_types.State(held.state),
                held.safe_from_unload,
            )
            for held in view.models
        )
        return plan_types.Engine(
            name=name,
            domain=entry.domain,
            capacity=int(entry.memory_bytes * (1 - reserve)),
            free=view.free_bytes,
            replicas=replicas,
            draining=leaving,
            role=entry.role,
            target_role=entry.role,
        )

    def _stop_loop(self) -> None:
        if self._loop.running:
            self._loop.stop()


def params_of(policy: schema.Policy) -> plan_types.Params:
    """Returns the planner parameters for a configured policy."""
    return plan_types.Params(
        attainment_weight=policy.attainment_weight,
        move_weight=policy.move_weight,
        min_stay_s=policy.min_stay_s,
    )
