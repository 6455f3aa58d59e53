"""The process of one VM that relays: joins the parts, starts, stops."""

from collections.abc import Awaitable
import contextlib
import random
import signal
import sys
from typing import Any

from twisted.internet import defer
from twisted.internet import reactor as default_reactor
from twisted.internet import task

from azureline.callers import relay as caller_side
from azureline.core import clock as clocks
from azureline.core import errors
from azureline.metrics import counters as metrics
from azureline.metrics import exposition as expositions
from azureline.platform import requests as wire
from azureline.platform import store as store_lib
from azureline.relay import allowance
from azureline.relay import asks
from azureline.relay import budget
from azureline.relay import claims
from azureline.relay import demand as demands
from azureline.relay import duties as duties_lib
from azureline.relay import eligibility as eligibilities
from azureline.relay import endings
from azureline.relay import exchange
from azureline.relay import exchange_tools
from azureline.relay import follower
from azureline.relay import holding
from azureline.relay import keys
from azureline.relay import messages
from azureline.relay import notices
from azureline.relay import peers as peers_lib
from azureline.relay import places as places_lib
from azureline.relay import residency as residencies
from azureline.relay import routes
from azureline.relay import run_times
from azureline.relay import servers
from azureline.relay import settings as settings_lib
from azureline.relay import suspicion as suspicions
from azureline.relay import tenancy as tenancies
from azureline.relay import views
from azureline.util import events
from azureline.util import http1
from azureline.util import probes

# Between looks at lapsed entries and idle connections.
_SWEEP_S = 0.5
_DRAIN_POLL_S = 0.05
# From the last answer to the end, so that it has left this VM.
_FLUSH_S = 0.2
# Requests are ended so long before the platform ends the process.
_GRACE_MARGIN_S = 0.6
_BACKLOG = 512


class Node:
    """One VM that relays."""

    def __init__(
        self,
        settings: settings_lib.RelaySettings,
        log: events.Log,
        reactor: Any = default_reactor,
    ):
        """Creates the parts; nothing is opened yet."""
        self._settings = settings
        self._reactor = reactor
        self._log = log
        self._clock = clocks.SystemClock()
        self._rng = random.Random()
        self._counters = metrics.Counters()
        self._exposition = expositions.Exposition(self._counters)
        self._stack = contextlib.ExitStack()
        self._client = http1.Client(reactor, self._clock, settings.connect_s)
        self._store = store_lib.Store(
            self._client,
            address(settings.store.address),
            settings.store.timeout_s,
        )
        self._table = routes.RouteTable(self._rng)
        self._catalogue = servers.Catalogue()
        self._residency = residencies.Residency(self._catalogue)
        self._eligibility = eligibilities.Eligibility(self._catalogue)
        self._record = keys.NodeRecord(
            settings.name,
            settings.host,
            settings.node_port,
            settings.domain,
            int(settings.link_mbps),
        )
        self._peers = peers_lib.Peers(self._record, self._clock, self._counters)
        self._tenancy = tenancies.Tenancy(
            reactor,
            self._clock,
            self._rng,
            self._store,
            self._record,
            _terms(settings.orders),
            self._counters,
            log,
        )
        self._demand = demands.DemandTeller(reactor, self._tell_demand)
        self._repeats = budget.RepeatBudget(budget.Terms(*settings.repeats))
        self._places = places_lib.Places(
            reactor,
            self._clock,
            self._rng,
            settings.domain,
            self._catalogue,
            self._residency,
            self._eligibility,
            asks.Asks(
                reactor,
                self._clock,
                self._peers,
                self._catalogue,
                self._residency,
                self._counters,
            ),
            self._demand,
            run_times.RunTimes(settings.engines.read_tokens_per_s),
            self._counters,
        )
        self._notices = notices.Notices(
            self._clock,
            self._catalogue,
            self._eligibility,
            self._peers,
            self._places.changed,
            self._counters,
            log,
        )
        self._suspicion = suspicions.Suspicion(
            reactor,
            self._clock,
            self._rng,
            self._peers,
            self._places.server_ended,
            self._counters,
            log,
        )
        self._endings = endings.Endings(
            reactor,
            self._clock,
            self._catalogue,
            self._probe,
            self._suspicion.ended,
            self._counters,
            log,
        )
        self._exchange_tools = exchange_tools.Tools(
            reactor,
            self._clock,
            self._client,
            self._table,
            self._places,
            self._repeats,
            self._endings,
            self._notices,
            self._suspicion,
            self._counters,
            self._exposition,
            log,
        )
        self._duties = duties_lib.Duties(
            holding.Tools(
                reactor,
                self._clock,
                self._client,
                settings.engines.read_tokens_per_s,
                settings.name,
                self._counters,
                log,
                self._tell_state,
                self._eligibility,
                self._notices.heard,
            ),
            self._clock,
            self._catalogue,
            self._table,
            self._peers,
            self._tenancy,
            allowance.Ceiling(*settings.loads),
        )
        asks.Answers(self._peers, self._duties.wish, self._counters)
        self._peers.on(messages.EngineState, self._told_state)
        self._peers.on(messages.EngineLoad, self._told_load)
        self._view = views.StoreView(
            self._clock,
            self._table,
            self._catalogue,
            self._residency,
            self._peers,
            self._tenancy,
            self._duties,
            self._places,
            self._repeats,
            self._endings,
            log,
            self._counters,
        )
        self._follower = follower.Follower(
            reactor,
            self._clock,
            self._rng,
            self._store,
            self._peers,
            self._view,
            follower.Pace(settings.store.watch_s, settings.store.pause_s),
            self._counters,
            log,
        )
        self._sweep = task.LoopingCall(self._swept)
        self._sweep.clock = reactor
        self._factory = caller_side.factory(self, routes.Limits().idle_s)
        self._active: set[exchange.Exchange] = set()
        self._leaving = False
        self._closing = False
        self._ports: list[Any] = []

    @property
    def active(self) -> int:
        """Requests that have no end yet."""
        return len(self._active)

    def start(self) -> None:
        """Opens the sockets and begins to follow the store."""
        settings = self._settings
        self._listen(settings.callers, self._factory)
        self._listen(settings.readiness, caller_side.readiness(self.ready))
        if settings.metrics_port:
            self._listen(
                f"{settings.host}:{settings.metrics_port}",
                expositions.factory(self._exposition),
            )
        self._stack.callback(self._peers.listen(self._reactor).stopListening)
        self._follower.start()
        self._stack.callback(self._follower.close)
        self._tenancy.start()
        self._duties.start()
        self._stack.callback(self._duties.close)
        self._suspicion.start()
        self._stack.callback(self._suspicion.close)
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
        """Returns whether the balancer shall send new connections."""
        return (
            not self._leaving
            and self._table.config is not None
            and self._view.servers_known
        )

    def handle(self, received: caller_side.Received) -> None:
        """Serves a request that was read whole."""
        if self._closing:
            # It might not end before this process does.
            self._counters.count("refused.shutting_down")
            received.refuse(
                errors.Refusal(
                    errors.ErrorKind.SHUTTING_DOWN, "The node is stopping."
                )
            )
            return
        request = wire.decode(
            received.method,
            received.uri,
            received.received_headers(),
            received.content.read(),
            received.getClientAddress().host,
        )
        one = exchange.Exchange(self._exchange_tools, received, request)
        self._active.add(one)
        self._counters.count("requests.received")
        one.start().addBoth(lambda _: self._active.discard(one))

    def body_bound(self) -> int:
        """Returns the bytes that a request's body may have."""
        config = self._table.config
        return (config.limits if config else routes.Limits()).body_bytes

    def closing(self) -> bool:
        """Returns whether connections end after their present answer."""
        return self._leaving

    async def stop(self) -> None:
        """Ends the process without cutting off a request.

        Readiness fails first; new connections are taken until the balancer
        has noticed.
        """
        if self._leaving:
            return
        self._leaving = True
        began = self._clock.now()
        self._log.info("stopping", active=self.active)
        idle_ms = self._duties.idle_ms()
        self._duties.close()
        releasing = defer.ensureDeferred(self._tenancy.release(idle_ms))
        releasing.addErrback(lambda _: None)
        stop = self._settings.stop
        latest = began + stop.grace_s - _GRACE_MARGIN_S
        notice = min(began + stop.notice_s, latest)
        while self._clock.now() < notice:
            await self._sleep(_DRAIN_POLL_S)
        self._closing = True
        for port in self._ports:
            port.stopListening()
        while self._clock.now() < latest:
            self._factory.close_idle()
            if not self.active and not self._factory.channels:
                break
            await self._sleep(_DRAIN_POLL_S)
        for one in list(self._active):
            one.expire()
        self._factory.close_idle()
        self._log.info(
            "stopped",
            active=self.active,
            took_s=round(self._clock.now() - began, 3),
        )
        await self._sleep(_FLUSH_S)
        self._stack.close()
        self._client.close()

    def reload(self) -> None:
        """Notes that the settings file has changed; it is read at start."""
        self._log.info("reloaded")

    def _listen(self, where: str, factory: Any) -> None:
        host, port = address(where)
        self._ports.append(
            self._reactor.listenTCP(
                port, factory, backlog=_BACKLOG, interface=host
            )
        )

    def _told_load(
        self, load: messages.EngineLoad, host: str, port: int
    ) -> None:
        self._residency.take_load(load)
        self._duties.load(load)
        self._places.load_told(load.server_id)

    def _tell_state(
        self, state: messages.EngineState | messages.EngineLoad
    ) -> None:
        self._peers.broadcast(state)

    def _told_state(
        self, state: messages.EngineState, host: str, port: int
    ) -> None:
        if self._residency.take(state, self._clock.now()):
            self._duties.state(state)
            self._places.changed()

    def _probe(self, where: http1.Address) -> Awaitable[probes.Probe]:
        return probes.probe(self._reactor, where, self._settings.connect_s)

    def _tell_demand(self, service: str, demand: messages.Demand) -> None:
        planner = self._peers.holder_of(keys.PLANNER + service)
        if planner is not None:
            self._peers.send(planner, demand)

    def _swept(self) -> None:
        self._client.sweep()
        self._view.expire()
        self._endings.expire()
        self._eligibility.expire(self._clock.now())
        config = self._table.config
        if config is not None:
            self._factory.set_idle_s(config.limits.idle_s)

    async def _sleep(self, seconds: float) -> None:
        await task.deferLater(self._reactor, seconds, lambda: None)


def address(text: str) -> http1.Address:
    """Returns the address that a text IP:PORT names."""
    host, _, port = text.rpartition(":")
    return http1.Address(host.strip("[]"), int(port))


def _terms(orders: settings_lib.Orders) -> claims.Terms:
    return claims.Terms(
        orders.lease_s,
        orders.renew_s,
        orders.valid_s,
        orders.turn_s,
        orders.margin_s,
    )


def run(settings: settings_lib.RelaySettings) -> None:
    """Runs a node until it is told to stop by SIGTERM or SIGINT.

    Args:
      settings: the VM's settings.

    Raises:
      SystemExit: if the node could not start.
    """
    log = events.setup(settings.log.lines_per_s, settings.name)
    node = Node(settings, log)
    failed: list[Any] = []

    def stop() -> None:
        stopping = defer.ensureDeferred(node.stop())
        stopping.addErrback(
            lambda f: log.error("stop_failed", reason=f.getTraceback())
        )
        stopping.addBoth(lambda _: default_reactor.stop())

    def begin() -> None:
        signal.signal(
            signal.SIGTERM, lambda *_: default_reactor.callFromThread(stop)
        )
        signal.signal(
            signal.SIGINT, lambda *_: default_reactor.callFromThread(stop)
        )
        signal.signal(
            signal.SIGHUP,
            lambda *_: default_reactor.callFromThread(node.reload),
        )
        try:
            node.start()
        except Exception as e:  # Any failure to start ends the process.
            log.error("start_failed", reason=repr(e))
            failed.append(e)
            default_reactor.stop()

    default_reactor.callWhenRunning(begin)
    default_reactor.run(installSignalHandlers=False)
    if failed:
        sys.exit(1)
