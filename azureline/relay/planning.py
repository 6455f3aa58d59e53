"""Feeds engine states and demand to the planners and sends out their plans."""

import math
from typing import NamedTuple

from azureline.core import clock as clocks
from azureline.metrics import counters as metrics
from azureline.relay import engines
from azureline.relay import load_rate_limit
from azureline.relay import messages
from azureline.relay import peers as peers_lib
from azureline.relay import planner as planners
from azureline.relay import routes
from azureline.relay import server_limits
from azureline.relay import servers
from azureline.util import events

# Interval at which a target is resent until the engine's state shows it.
_RESEND_INTERVAL_S = 0.5


# Time assumed until an engine without a lease holder can receive orders.
_NO_HOLDER_DELAY_S = 5.0
# A plan that is not carried out this long after twice its expected duration is
# dropped: the lease holder or the engine may be gone.
_DROP_AFTER_S = 2.5
# Minimum remaining time assumed for a busy engine.
_MIN_BUSY_S = 0.2
# The remaining time of an overdue engine is estimated as this part of the time
# that it has been busy.
_OVERDUE_RATIO = 0.5


class _ReceivedState(NamedTuple):
    """The last state of an engine.

    Attributes:
      state: the state.
      at: monotonic time in seconds of its receipt.
      busy_since: monotonic time in seconds since when states show the engine
        busy.
    """

    state: messages.EngineState
    at: float
    busy_since: float


class _SentPlan:
    """A plan that the engine's state does not show yet."""

    def __init__(
        self, target: messages.PlannedModels, busy_s: float, at: float
    ):
        self.target = target
        self.at = at
        self._first_sent_at = at
        self._expected_at = at + busy_s
        self._drop_at = at + 2 * busy_s + _DROP_AFTER_S

    def left_s(self, now: float) -> float:
        """Returns the estimated seconds until the plan is carried out."""
        overdue_s = (now - self._first_sent_at) * _OVERDUE_RATIO
        return self._expected_at - now if now < self._expected_at else overdue_s

    def is_late(self, now: float) -> bool:
        """Returns whether the plan is so late that it can be dropped."""
        return now > self._drop_at


class Planning:
    """Runs the planners of the services that this node plans for."""

    def __init__(
        self,
        clock: clocks.Clock,
        catalogue: servers.Catalogue,
        peers: peers_lib.Peers,
        limits: server_limits.ServerLimits,
        ceiling: load_rate_limit.LoadWindowLimit,
        log: events.Log,
        counters: metrics.Counters,
    ):
        """Creates planning without a planner; `plan` adds them."""
        self._clock = clock
        self._catalogue = catalogue
        self._peers = peers
        self._limits = limits
        self._ceiling = ceiling
        self._log = log
        self._counters = counters
        self._planners: dict[str, planners.Planner] = {}
        self._states: dict[str, _ReceivedState] = {}
        self._loads: dict[str, int] = {}
        self._sent: dict[str, _SentPlan] = {}
        self._last_serial = 0
        peers.on(messages.Demand, self._on_demand)

    def state(self, state: messages.EngineState) -> None:
        """Records an engine state sent by the lease holder."""
        now = self._clock.now()
        known = self._states.get(state.server_id)
        still_busy = (
            known is not None
            and known.state.busy
            and known.state.born_ms == state.born_ms
        )
        since = known.busy_since if known is not None and still_busy else now
        self._states[state.server_id] = _ReceivedState(state, now, since)

    def load(self, load: messages.EngineLoad) -> None:
        """Records the number of requests at an engine."""
        self._loads[load.server_id] = load.requests

    def cease(self, service: str) -> None:
        """Stops planning for a service, as another node is its planner now."""
        if self._planners.pop(service, None) is not None:
            self._sent.clear()

    def plan(
        self, service: str, kind: routes.EngineSpec, term: int, now: float
    ) -> None:
        """Makes plans, sends them, and resends those not yet carried out.

        Args:
          service: the service.
          kind: the properties of its engines and models.
          term: number of the planner's term; it grows from one planner to the
            next.
          now: monotonic time in seconds.
        """
        planner = self._planners.get(service)
        if planner is None:
            planner = planners.Planner(kind, self._ceiling, now)
            self._planners[service] = planner
        planner.set_kind(kind)
        views = [
            self._engine_view(server, now)
            for server in self._catalogue.of_service(service)
        ]
        for move in planner.plan(views, now):
            server = self._catalogue.get(move.server_id)
            if server is None:
                continue
            self._last_serial += 1
            target = messages.PlannedModels(
                move.server_id,
                server.born_ms,
                term * 100000 + self._last_serial,
                move.models,
                round(move.busy_s * 1000),
            )
            self._counters.count("plans.made")
            self._log.info(
                "planned",
                server=move.server_id,
                load=move.load,
                unload=list(move.victims),
                gain=round(move.gain, 2),
                loss=round(move.loss, 2),
                rate=round(planner.demand.rate(move.load, now), 2),
                waiting=planner.demand.waiting(move.load, now),
                load_s=move.load_s,
                busy_s=round(move.busy_s, 2),
                on_disk=list(server.on_disk),
                models=list(move.models),
            )
            self._sent[move.server_id] = _SentPlan(target, move.busy_s, now)
            self._send(target)
        self._resend(now)

    def _engine_view(
        self, server: servers.BackendServer, now: float
    ) -> engines.EngineSnapshot:
        received = self._states.get(server.server_id)
        models = tuple(r.name for r in server.models)
        has_holder = server.server_id in self._peers.holders
        free_s = 0.0 if has_holder else _NO_HOLDER_DELAY_S
        if received is not None and received.state.born_ms == server.born_ms:
            models = tuple(name for name, _ in received.state.models)
            left_s = received.at + received.state.loading_ms / 1000 - now
            if received.state.busy:
                overdue_s = (now - received.busy_since) * _OVERDUE_RATIO
                free_s = max(free_s, left_s, overdue_s, _MIN_BUSY_S)
            no_orders_s = (
                received.at + received.state.orders_after_ms / 1000 - now
            )
            free_s = max(free_s, no_orders_s)
        sent = self._sent.get(server.server_id)
        if sent is not None:
            restarted = sent.target.born_ms != server.born_ms
            done = set(sent.target.models) <= set(models)
            if restarted or done or not has_holder or sent.is_late(now):
                del self._sent[server.server_id]
            else:
                # A move in progress counts as done: the engine is assumed to
                # hold its target models.
                models = sent.target.models
                free_s = max(free_s, sent.left_s(now), _MIN_BUSY_S)
        limit = self._limits.get(server.incarnation)
        return engines.EngineSnapshot(
            server.server_id,
            server.born_ms,
            server.domain,
            models,
            server.in_memory,
            server.on_disk,
            free_s,
            self._loads.get(server.server_id, 0),
            math.inf if limit is None else limit.per_s,
        )

    def _resend(self, now: float) -> None:
        for sent in self._sent.values():
            if sent.at + _RESEND_INTERVAL_S <= now:
                sent.at = now
                self._send(sent.target)

    def _send(self, target: messages.PlannedModels) -> None:
        holder = self._peers.holder_of(target.server_id)
        if holder is not None:
            self._peers.send(holder, target)

    def _on_demand(
        self, message: messages.Demand, host: str, port: int
    ) -> None:
        now = self._clock.now()
        for row in message.rows:
            planner = self._planners.get(row.service)
            if planner is not None:
                planner.demand.record(f"{host}:{port}", row, now)
