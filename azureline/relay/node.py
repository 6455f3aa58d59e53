"""Process of one relay node: builds, starts and stops its components."""

from collections.abc import Awaitable
import contextlib
import random
from typing import Any

from twisted.internet import defer
from twisted.internet import reactor as default_reactor
from twisted.internet import task

from azureline.callers import relay as caller_side
from azureline.core import clock as clocks
from azureline.engine_choice import chooser
from azureline.metrics import counters as metrics
from azureline.metrics import exposition as expositions
from azureline.operators import explanations
from azureline.platform import store as store_lib
from azureline.quotas import parts as quota_parts
from azureline.relay import claims
from azureline.relay import config_copy
from azureline.relay import controllers as controllers_lib
from azureline.relay import crash_detection
from azureline.relay import crash_suspects
from azureline.relay import demand_reports
from azureline.relay import eligibility as eligibilities
from azureline.relay import engine_controller
from azureline.relay import exchange_context
from azureline.relay import follower
from azureline.relay import granter as granters
from azureline.relay import grants
from azureline.relay import intake
from azureline.relay import keys
from azureline.relay import load_rate_limit
from azureline.relay import messages
from azureline.relay import peers as peers_lib
from azureline.relay import reservations
from azureline.relay import residency as residencies
from azureline.relay import retry_budget
from azureline.relay import routes
from azureline.relay import run_times
from azureline.relay import scheduler as scheduler_lib
from azureline.relay import send_counts
from azureline.relay import server_choice
from azureline.relay import server_notices
from azureline.relay import servers
from azureline.relay import service_versions
from azureline.relay import settings as settings_lib
from azureline.relay import store_session
from azureline.relay import store_view
from azureline.relay import stream_versions
from azureline.util import addresses
from azureline.util import events
from azureline.util import http1
from azureline.util import http1_client
from azureline.util import memory_budget
from azureline.util import probes
from azureline.util import supervision

# Interval of the removal of expired entries and idle connections.
_SWEEP_S = 0.5
_DRAIN_POLL_S = 0.05
# Between the last response and the exit, so that the kernel can send it.
_FLUSH_S = 0.2
# Open requests are aborted this long before the platform kills the process.
_ABORT_MARGIN_S = 0.6
_BACKLOG = 512
_MB = 1 << 20
# Part of the process's memory for the bodies of requests.
_BODIES_SHARE = 0.2
# The same for what is held of answers, and the part of it for each server, so
# that a faulty one leaves room for others.
_ANSWERS_SHARE = 0.2
_SERVER_SHARE = 0.5


class Node:
    """A relay node, which runs on one VM."""

    def __init__(
        self,
        settings: settings_lib.RelaySettings,
        log: events.Log,
        reactor: Any = default_reactor,
    ):
        """Creates the components without opening a socket."""
        self._settings = settings
        self._reactor = reactor
        self._log = log
        self._clock = clocks.SystemClock()
        self._rng = random.Random()
        self._counters = metrics.Counters()
        self._exposition = expositions.Exposition(self._counters)
        self._stack = contextlib.ExitStack()
        self._client = http1_client.Client(
            reactor, self._clock, settings.connect_s
        )
        self._store = store_lib.StoreClient(
            self._client,
            addresses.parse(settings.store.address),
            settings.store.timeout_s,
        )
        self._table = routes.RouteTable(self._rng)
        self._catalogue = servers.Catalogue()
        self._residency = residencies.Residency(self._catalogue)
        self._eligibility = eligibilities.Eligibility(self._catalogue)
        self._sends = send_counts.SendCounts(
            self._eligibility.limits, self._counters, log
        )
        self._record = keys.NodeRecord(
            settings.name,
            settings.host,
            settings.node_port,
            settings.domain,
            int(settings.link_mbps),
        )
        self._peers = peers_lib.Peers(self._record, self._clock, self._counters)
        self._store_session = store_session.StoreSession(
            reactor,
            self._clock,
            self._rng,
            self._store,
            self._record,
            claims.LeaseTimes(*settings.orders),
            self._counters,
            log,
        )
        supervisor = supervision.Supervisor(self._counters, log)
        self._demand = demand_reports.DemandReporter(
            reactor, supervisor.guarded("demand", self._send_demand)
        )
        self._retry_budget = retry_budget.RetryBudget(
            retry_budget.BudgetTerms(*settings.repeats)
        )
        grant_client = grants.GrantClient(
            reactor,
            self._clock,
            self._peers,
            self._eligibility.limits,
            lambda incarnation: self._server_notices.limit_ended(incarnation),
            self._counters,
            log,
        )
        self._times = run_times.RunTimes(settings.engines.read_tokens_per_s)
        self._engine_choice = chooser.EngineChoice(
            self._clock,
            self._times,
            settings.engines.read_tokens_per_s,
            self._counters,
            log,
        )
        self._scheduler = scheduler_lib.Scheduler(
            reactor,
            self._clock,
            self._rng,
            settings.domain,
            self._catalogue,
            self._residency,
            self._eligibility,
            server_choice.ServerChoice(
                self._clock, self._eligibility, grant_client, self._counters
            ),
            reservations.ReservationClient(
                reactor,
                self._clock,
                self._peers,
                self._catalogue,
                self._residency,
                self._counters,
            ),
            self._demand,
            self._times,
            self._engine_choice,
            self._counters,
            settings.engines.weigh_prefixes,
        )
        self._explainer = explanations.Explainer(
            settings.name, self._table, self._scheduler.explain
        )
        self._server_notices = server_notices.ServerNotices(
            self._clock,
            self._rng,
            self._catalogue,
            self._eligibility,
            self._peers,
            self._scheduler.wake_waiting,
            self._counters,
            log,
        )
        self._crash_suspects = crash_suspects.CrashSuspects(
            reactor,
            self._clock,
            self._rng,
            self._peers,
            self._store,
            self._scheduler.record_server_crash,
            lambda server: self._crash_detector.crash_reported(server),
            self._catalogue.start_of,
            self._counters,
            log,
        )
        self._crash_detector = crash_detection.CrashDetector(
            reactor,
            self._clock,
            self._catalogue,
            self._probe,
            self._crash_suspects.server_crashed,
            self._counters,
            log,
        )
        self._versions = service_versions.ServiceVersions(
            reactor,
            self._clock,
            self._store,
            self._peers,
            self._catalogue,
            self._counters,
            log,
        )
        self._streams = stream_versions.StreamVersions(
            reactor,
            self._clock,
            self._peers,
            self._versions,
            lambda: self._follower.is_current(),
            self._counters,
        )
        self._quotas, self._quota_service = quota_parts.build(
            reactor,
            self._clock,
            self._rng,
            self._peers,
            self._table,
            lambda: self._follower.confirmed_at,
            settings.orders.lease_s - settings.orders.renew_s,
            self._counters,
            log,
        )
        self._exchange_context = exchange_context.ExchangeContext(
            reactor,
            self._clock,
            self._client,
            self._table,
            self._scheduler,
            self._retry_budget,
            self._crash_detector,
            self._server_notices,
            self._sends,
            self._streams,
            memory_budget.MemoryBudget(
                int(settings.memory_mb * _MB * _BODIES_SHARE)
            ),
            memory_budget.MemoryBudget(
                int(settings.memory_mb * _MB * _ANSWERS_SHARE), _SERVER_SHARE
            ),
            self._crash_suspects,
            self._quotas,
            self._counters,
            self._exposition,
            log,
        )
        self._controllers = controllers_lib.Controllers(
            engine_controller.ControllerDependencies(
                reactor,
                self._clock,
                self._client,
                settings.engines.read_tokens_per_s,
                settings.name,
                self._counters,
                log,
                self._broadcast_state,
                self._eligibility,
                self._record_call,
                self._server_notices.heard,
            ),
            self._clock,
            self._catalogue,
            self._table,
            self._peers,
            self._store_session,
            load_rate_limit.LoadWindowLimit(*settings.loads),
        )
        self._granter = granters.Granter(self._eligibility.limits)
        self._grant_server = granters.GrantServer(
            self._clock,
            self._granter,
            self._eligibility.limits,
            self._peers,
            self._controllers.standing,
            self._counters,
            log,
        )
        reservations.ReservationServer(
            self._peers, self._controllers.reserve, self._counters
        )
        self._peers.on(messages.EngineState, self._on_engine_state)
        self._peers.on(messages.EngineLoad, self._on_engine_load)
        self._config_copy = config_copy.ConfigCopy(
            reactor, self._store, self._peers, self._counters, log
        )
        self._store_view = store_view.StoreView(
            self._clock,
            self._table,
            self._catalogue,
            self._residency,
            self._peers,
            self._store_session,
            self._controllers,
            self._scheduler,
            self._retry_budget,
            self._crash_detector,
            self._server_notices,
            self._crash_suspects.record,
            self._config_copy,
            self._versions,
            self._streams,
            log,
            self._counters,
        )
        self._store.on_return(self._store_view.returned)
        self._follower = follower.Follower(
            reactor,
            self._clock,
            self._rng,
            self._store,
            self._peers,
            self._store_view,
            follower.Pace(settings.store.watch_s, settings.store.pause_s),
            self._counters,
            log,
        )
        self._store.on_return(self._follower.store_returned)
        self._sweep = task.LoopingCall(
            supervisor.guarded("sweep", self._run_sweep)
        )
        self._sweep.clock = reactor
        self._intake = intake.Intake(self._exchange_context, self._times)
        self._factory = caller_side.make_factory(
            self._intake, routes.Limits().idle_s
        )
        self._ports: list[Any] = []

    def start(self) -> None:
        """Opens the sockets and starts to follow the store."""
        settings = self._settings
        self._listen(settings.callers, self._factory)
        self._listen(
            settings.readiness, caller_side.make_readiness_factory(self.ready)
        )
        if settings.metrics_port:
            self._listen(
                f"{settings.host}:{settings.metrics_port}",
                expositions.make_factory(
                    self._exposition,
                    {explanations.PATH: self._explainer.answer},
                ),
            )
        self._stack.callback(self._peers.listen(self._reactor).stopListening)
        self._follower.start()
        self._stack.callback(self._follower.close)
        self._store_session.start()
        self._controllers.start()
        self._stack.callback(self._controllers.close)
        self._crash_suspects.start()
        self._stack.callback(self._crash_suspects.close)
        self._stack.callback(self._config_copy.close)
        self._stack.callback(self._versions.close)
        self._demand.start()
        self._stack.callback(self._demand.close)
        self._sweep.start(_SWEEP_S, now=False)
        self._stack.callback(self._sweep.stop)
        self._log.info(
            "started",
            callers=settings.callers,
            domain=settings.domain,
            store=settings.store.address,
        )

    def ready(self) -> bool:
        """Returns whether the load balancer should send new connections."""
        return (
            not self._intake.leaving
            and self._table.config is not None
            and self._store_view.servers_known
        )

    async def stop(self) -> None:
        """Drains the node and closes it.

        Readiness fails first. The node accepts new connections until the load
        balancer has had time to notice that (`stop.notice_s`). It then waits
        for open requests and aborts those that are left shortly before the
        end of the grace period.
        """
        if self._intake.leaving:
            return
        stop_began = self._clock.now()
        stop = self._settings.stop
        abort_at = stop_began + stop.grace_s - _ABORT_MARGIN_S
        self._intake.leave(abort_at)
        self._log.info("stopping", active=self._intake.active)
        idle_ms = self._controllers.idle_ms()
        self._controllers.close()
        releasing = defer.ensureDeferred(self._store_session.release(idle_ms))
        releasing.addErrback(lambda _: None)
        notice_until = min(stop_began + stop.notice_s, abort_at)
        while self._clock.now() < notice_until:
            await self._sleep(_DRAIN_POLL_S)
        self._intake.close()
        for port in self._ports:
            port.stopListening()
        while self._clock.now() < abort_at:
            self._factory.close_idle()
            if not self._intake.active and not self._factory.channels:
                break
            await self._sleep(_DRAIN_POLL_S)
        self._intake.expire_all()
        self._factory.close_idle()
        self._log.info(
            "stopped",
            active=self._intake.active,
            took_s=round(self._clock.now() - stop_began, 3),
        )
        await self._sleep(_FLUSH_S)
        self._stack.close()
        self._client.close()

    def reload(self) -> None:
        """Logs a reload signal; the settings file is only read at start."""
        self._log.info("reloaded")

    def _listen(self, where: str, factory: Any) -> None:
        host, port = addresses.parse(where)
        self._ports.append(
            self._reactor.listenTCP(
                port, factory, backlog=_BACKLOG, interface=host
            )
        )

    def _on_engine_load(
        self, load: messages.EngineLoad, host: str, port: int
    ) -> None:
        self._residency.take_load(load)
        self._controllers.apply_load(load)
        self._scheduler.record_load_report(load.server_id)

    def _broadcast_state(
        self, state: messages.EngineState | messages.EngineLoad
    ) -> None:
        self._peers.broadcast(state)

    def _on_engine_state(
        self, state: messages.EngineState, host: str, port: int
    ) -> None:
        if self._residency.take(state, self._clock.now()):
            self._controllers.apply_state(state)
            self._scheduler.wake_waiting()

    def _probe(self, where: http1.Address) -> Awaitable[probes.ProbeResult]:
        return probes.probe(self._reactor, where, self._settings.connect_s)

    def _send_demand(self, service: str, demand: messages.Demand) -> None:
        planner = self._peers.holder_of(keys.PLANNER + service)
        if planner is not None:
            self._peers.send(planner, demand)

    def _record_call(
        self, server: servers.BackendServer, kind: send_counts.Kind
    ) -> None:
        """Counts a report or an order that is sent to an engine."""
        self._sends.record(server, kind)
        self._grant_server.charge(server.incarnation)

    def _run_sweep(self) -> None:
        self._client.close_expired()
        self._store_view.expire()
        self._crash_detector.expire()
        self._eligibility.expire(self._clock.now())
        self._granter.expire()
        self._quotas.expire()
        self._quota_service.update()
        self._server_notices.request_limits()
        self._sends.write_log(self._clock.now())
        config = self._table.config
        if config is not None:
            self._factory.set_idle_s(config.limits.idle_s)

    async def _sleep(self, seconds: float) -> None:
        await task.deferLater(self._reactor, seconds, lambda: None)
