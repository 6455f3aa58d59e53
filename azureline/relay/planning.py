"""Carries the planner's view in and its plans out."""

from typing import NamedTuple

from azureline.core import clock as clocks
from azureline.metrics import counters as metrics
from azureline.relay import allowance
from azureline.relay import engines
from azureline.relay import messages
from azureline.relay import peers as peers_lib
from azureline.relay import planner as planners
from azureline.relay import routes
from azureline.relay import servers
from azureline.util import events

# A plan is sent again until the engine's state shows it.
_REPEAT_S = 0.5


# An engine without a holder gets none that may give orders sooner.
_NO_HOLDER_S = 5.0
# A plan that is not carried out by so much after it should have been is
# dropped: its holder or its engine may be gone.
_LATE_S = 2.5
# An engine that is busy is taken to be so for at least this long.
_BUSY_S = 0.2
# One that is busy for longer than it should be is taken to stay so for this
# part of the time that it has been.
_OVERDUE_PART = 0.5


class _Told(NamedTuple):
    state: messages.EngineState
    at: float
    busy_since: float


class _Sent:
    def __init__(self, target: messages.Target, busy_s: float, at: float):
        self.target = target
        self.at = at
        self._began = at
        self._due_at = at + busy_s
        self._late_at = at + 2 * busy_s + _LATE_S

    def left_s(self, now: float) -> float:
        """Returns seconds until it should have been carried out."""
        overdue_s = (now - self._began) * _OVERDUE_PART
        return self._due_at - now if now < self._due_at else overdue_s

    def is_late(self, now: float) -> bool:
        """Returns whether it should have been carried out by now."""
        return now > self._late_at


class Planning:
    """The planners of the services that this node plans for."""

    def __init__(
        self,
        clock: clocks.Clock,
        catalogue: servers.Catalogue,
        peers: peers_lib.Peers,
        ceiling: allowance.Ceiling,
        log: events.Log,
        counters: metrics.Counters,
    ):
        """Creates planning for no service."""
        self._clock = clock
        self._catalogue = catalogue
        self._peers = peers
        self._ceiling = ceiling
        self._log = log
        self._counters = counters
        self._planners: dict[str, planners.Planner] = {}
        self._states: dict[str, _Told] = {}
        self._loads: dict[str, int] = {}
        self._sent: dict[str, _Sent] = {}
        self._serial = 0
        peers.on(messages.Demand, self._demanded)

    def state(self, state: messages.EngineState) -> None:
        """Takes what a holder tells of its engine."""
        now = self._clock.now()
        known = self._states.get(state.server_id)
        goes_on = (
            known is not None
            and known.state.busy
            and known.state.born_ms == state.born_ms
        )
        since = known.busy_since if known is not None and goes_on else now
        self._states[state.server_id] = _Told(state, now, since)

    def load(self, load: messages.EngineLoad) -> None:
        """Takes what a holder tells of its engine's load."""
        self._loads[load.server_id] = load.requests

    def cease(self, service: str) -> None:
        """Plans for a service no more."""
        if self._planners.pop(service, None) is not None:
            self._sent.clear()

    def plan(
        self, service: str, kind: routes.EngineKind, term: int, now: float
    ) -> None:
        """Makes and sends the plans that are due.

        Args:
          service: the service.
          kind: what its engines are like.
          term: grows from one planner to the next.
          now: monotonic time in seconds.
        """
        planner = self._planners.get(service)
        if planner is None:
            planner = planners.Planner(kind, self._ceiling, now)
            self._planners[service] = planner
        planner.set_kind(kind)
        views = [
            self._view(server, now)
            for server in self._catalogue.of_service(service)
        ]
        for move in planner.plan(views, now):
            server = self._catalogue.get(move.server_id)
            if server is None:
                continue
            self._serial += 1
            target = messages.Target(
                move.server_id,
                server.born_ms,
                term * 100000 + self._serial,
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
            self._sent[move.server_id] = _Sent(target, move.busy_s, now)
            self._send(target)
        self._repeat(now)

    def _view(
        self, server: servers.BackendServer, now: float
    ) -> engines.EngineView:
        told = self._states.get(server.server_id)
        models = tuple(r.name for r in server.models)
        held = server.server_id in self._peers.holders
        free_s = 0.0 if held else _NO_HOLDER_S
        if told is not None and told.state.born_ms == server.born_ms:
            models = tuple(name for name, _ in told.state.models)
            left_s = told.at + told.state.coming_ms / 1000 - now
            if told.state.busy:
                overdue_s = (now - told.busy_since) * _OVERDUE_PART
                free_s = max(free_s, left_s, overdue_s, _BUSY_S)
            held_s = told.at + told.state.held_ms / 1000 - now
            free_s = max(free_s, held_s)
        sent = self._sent.get(server.server_id)
        if sent is not None:
            other_start = sent.target.born_ms != server.born_ms
            done = set(sent.target.models) <= set(models)
            if other_start or done or not held or sent.is_late(now):
                del self._sent[server.server_id]
            else:
                # Under way: it counts as holding what it shall hold.
                models = sent.target.models
                free_s = max(free_s, sent.left_s(now), _BUSY_S)
        return engines.EngineView(
            server.server_id,
            server.born_ms,
            server.domain,
            models,
            server.in_memory,
            server.on_disk,
            free_s,
            self._loads.get(server.server_id, 0),
        )

    def _repeat(self, now: float) -> None:
        for sent in self._sent.values():
            if sent.at + _REPEAT_S <= now:
                sent.at = now
                self._send(sent.target)

    def _send(self, target: messages.Target) -> None:
        holder = self._peers.holder_of(target.server_id)
        if holder is not None:
            self._peers.send(holder, target)

    def _demanded(self, message: messages.Demand, host: str, port: int) -> None:
        now = self._clock.now()
        for row in message.rows:
            planner = self._planners.get(row.service)
            if planner is not None:
                planner.demand.take(f"{host}:{port}", row, now)
