"""The process of one entry VM: connects its parts and stops them in order."""

import random
import signal
import sys
from typing import Any
import uuid

from absl import logging
from twisted.internet import defer
from twisted.internet import reactor as default_reactor
from twisted.internet import task

from azureline.backends import http as backend_http
from azureline.callers import site as site_lib
from azureline.config import schema
from azureline.core import clock as clocks
from azureline.fleet import directory as directories
from azureline.fleet import messages as fleet_messages
from azureline.metrics import counters as metrics
from azureline.nodes import links
from azureline.nodes import neighbours as neighbours_lib
from azureline.platform import http as platform_http
from azureline.platform import vm_poller
from azureline.routing import admission
from azureline.routing import breaker
from azureline.routing import limits
from azureline.routing import picker
from azureline.routing import retry
from azureline.routing import stream
from azureline.routing import suspects
from azureline.serving import adapters as adapters_lib
from azureline.serving import config_follower
from azureline.serving import frontend
from azureline.serving import generations as generations_lib
from azureline.serving import once_calls
from azureline.serving import once_slots
from azureline.serving import planning
from azureline.serving import services as services_lib
from azureline.serving import slot_manager
from azureline.serving import suspect_gossip
from azureline.util import addresses
from azureline.util import memory_budget

DRAIN_POLL_S = 0.1
DRAIN_LINGER_S = 0.5
HAND_OVER_TIMEOUT_S = 2.0
# Part of the memory for answers that those of one server may take.
SERVER_SHARE = 0.5


class Node:
    """Serves callers on one entry VM as a member of the cluster."""

    def __init__(
        self,
        settings: schema.NodeSettings,
        reactor: Any = default_reactor,
    ):
        """Creates the parts; no socket is opened yet.

        Args:
          settings: the VM's settings.
          reactor: the Twisted reactor.
        """
        self._settings = settings
        self._reactor = reactor
        self._clock = clocks.SystemClock()
        self._rng = random.Random()
        self._identity = uuid.uuid4().hex
        self._config: schema.Configuration | None = None
        self._stopping = False
        statsd = settings.statsd
        self._counters = metrics.make_counters(
            statsd.host, statsd.port, statsd.prefix
        )
        total_bytes = settings.buffers.total_bytes
        self._body_budget = memory_budget.MemoryBudget(total_bytes)
        self._answer_budget = memory_budget.MemoryBudget(
            total_bytes, SERVER_SHARE
        )
        self._backends = backend_http.BackendClient(
            reactor, settings.timeouts.connect_s, self._answer_budget
        )
        self._key_value = platform_http.HttpKeyValue(
            reactor, settings.platform.url, settings.platform.timeout_s
        )
        self._vms = platform_http.HttpVmList(
            reactor, settings.platform.url, settings.platform.timeout_s
        )
        self._directory = directories.Directory(settings.domain)
        self._neighbours = self._make_neighbours()
        self._vm_poller = vm_poller.VmPoller(
            reactor,
            self._clock,
            self._neighbours,
            self._vms,
            settings.timeouts.vm_list_s,
        )
        self._slots = slot_manager.SlotManager(
            reactor,
            self._identity,
            self._clock,
            self._rng,
            self._neighbours,
            self._key_value,
            self._backends,
            self._directory,
            self._counters,
            settings.timeouts.probe_s,
        )
        self._planning = planning.Planning(
            reactor,
            self._clock,
            self._neighbours,
            self._directory,
            self._slots,
            self._counters,
        )
        self._make_routing()
        self._once_slots = once_slots.OnceSlots(
            reactor,
            self._identity,
            self._clock,
            self._rng,
            self._neighbours,
            self._key_value,
            self._counters,
        )
        self._once = once_calls.OnceCalls(
            reactor,
            self._clock,
            self._rng,
            self._neighbours,
            self._slots.holder,
            self._services,
            self._counters,
        )
        self._config_follower = config_follower.ConfigFollower(
            reactor,
            self._clock,
            self._rng,
            self._neighbours,
            self._key_value,
            tuple(addresses.parse(seed) for seed in settings.seeds),
            self._apply_configuration,
            self._counters,
            settings.timeouts.watch_s,
        )
        self._frontend = frontend.Frontend(
            self._clock,
            self._rng,
            settings.timeouts.request_s,
            self._generations,
            self._services,
            self._once,
            self._planning,
            self._neighbours.membership,
            self._directory,
            self._counters,
        )
        self._port: Any = None

    async def start(self) -> None:
        """Opens the sockets; serves once a configuration is in force."""
        self._neighbours.on_entry("vm/", self._on_vm_entry)
        self._neighbours.on_domains(self._on_domains_changed)
        self._neighbours.on_member(lambda member: self._set_initial_limits())
        self._slots.on_replicas_changed(self._on_replicas_changed)
        self._slots.on_crash(self._generations.on_engine_crashed)
        self._slots.add_slot_handler("once/", self._once_slots)
        self._slots.on_holder(self._once.on_holder_changed)
        self._once_slots.on_deposed(self._slots.reacquire)
        self._slots.add_slot_handler("planner/", self._planning)
        self._generations.on_answered(self._planning.record_answer)
        await self._neighbours.start()
        self._vm_poller.start()
        self._suspect_gossip.start()
        self._config_follower.start()
        self._port = self._reactor.listenTCP(
            self._settings.port,
            site_lib.make_site(
                self._frontend,
                self._settings.buffers.body_bytes,
                self._body_budget,
                self._answer_budget,
            ),
            interface=self._settings.host,
        )
        logging.info(
            "event=started node=%s port=%d link_port=%d domain=%s",
            self._settings.name,
            self._settings.port,
            self._settings.link_port,
            self._settings.domain,
        )

    async def stop(self) -> None:
        """Drains the node, then closes it.

        Readiness fails first, and the slots are handed over.  Requests are
        still accepted for `drain_notice_s` seconds, so that the load balancer
        can notice.  After that, requests in flight have up to `drain_s`
        seconds to finish.
        """
        if self._stopping:
            return
        self._stopping = True
        self._frontend.drain()
        timeouts = self._settings.timeouts
        logging.info("event=draining active=%d", self._frontend.active)
        self._neighbours.announce(leaving=True)
        await self._wait_at_most(HAND_OVER_TIMEOUT_S, self._once_slots.drain())
        await self._wait_at_most(HAND_OVER_TIMEOUT_S, self._slots.release())
        await self._sleep(timeouts.drain_notice_s)
        self._frontend.close()
        give_up_at = self._clock.now() + timeouts.drain_s
        while self._frontend.active and self._clock.now() < give_up_at:
            await self._sleep(DRAIN_POLL_S)
        if self._port is not None:
            await defer.maybeDeferred(self._port.stopListening)
        await self._sleep(DRAIN_LINGER_S)
        logging.info("event=stopped active=%d", self._frontend.active)
        await self._close()

    def _make_neighbours(self) -> neighbours_lib.Neighbours:
        settings = self._settings
        info = fleet_messages.MemberInfo(
            host=settings.host,
            port=settings.link_port,
            http_port=settings.port,
            domain=settings.domain,
            region=settings.region,
            config_version=0,
            leaving=False,
        )
        return neighbours_lib.Neighbours(
            self._reactor,
            settings.name,
            info,
            tuple(addresses.parse(seed) for seed in settings.seeds),
            self._clock,
            self._rng,
            self._counters,
            links.Timing(
                settings.timeouts.connect_s,
                settings.timeouts.heartbeat_s,
                settings.timeouts.link_silence_s,
            ),
        )

    def _make_routing(self) -> None:
        breakers = breaker.Breakers(self._rng)
        self._retries = retry.RetryPolicy(self._rng)
        chooser = picker.Picker(
            self._settings.name, self._settings.domain, self._rng, breakers
        )
        self._suspects = suspects.SuspectTable()
        self._limits = limits.Limits()
        self._admission = admission.Admission(chooser, self._limits, self._rng)
        stream_settings = stream.DEFAULTS._replace(
            progress_timeout_s=self._settings.timeouts.stream_silence_s,
            buffer_bytes=self._settings.buffers.stream_bytes,
        )
        self._generations = generations_lib.Generations(
            self._reactor,
            self._clock,
            self._admission,
            self._retries,
            self._suspects,
            self._directory,
            adapters_lib.AdapterLoader(
                self._reactor,
                self._clock,
                self._neighbours,
                self._slots.owner_of,
                self._directory,
                self._counters,
            ),
            self._backends,
            self._counters,
            stream_settings,
            self._answer_budget,
        )
        self._suspect_gossip = suspect_gossip.SuspectGossip(
            self._reactor,
            self._clock,
            self._neighbours,
            self._suspects,
            self._counters,
        )
        self._generations.on_suspects(self._suspect_gossip.flush)
        self._services = services_lib.Services(
            self._reactor,
            self._clock,
            self._directory,
            self._backends,
            breakers,
            self._retries,
            self._counters,
            self._rng,
        )

    def _apply_configuration(
        self, version: int, config: schema.Configuration
    ) -> None:
        """Puts an accepted configuration in force on this node."""
        self._config = config
        self._frontend.configure(version, config)
        self._configure_routing(config)
        self._directory.configure(config)
        self._planning.configure(version, config)
        self._slots.configure(config)
        self._generations.update_replicas(list(config.models))
        self._set_initial_limits()
        self._neighbours.announce(config_version=version)
        logging.info("event=config_in_force version=%d", version)

    def _configure_routing(self, config: schema.Configuration) -> None:
        queue, policy = config.limits.queue, config.policy
        self._retries.set_ratio(config.limits.retry_budget_ratio)
        self._admission.set_queue_bounds(
            (queue.urgent, queue.normal, queue.batch)
        )
        self._limits.set_latency_bounds(
            policy.first_token_target_ms / 1000,
            policy.token_gap_target_ms / 1000,
        )

    def _set_initial_limits(self) -> None:
        """Starts limits at this node's share of the engines' concurrency.

        The share is the largest `max_running` divided by the live nodes.
        """
        if self._config is None:
            return
        nodes = max(1, len(self._neighbours.names()))
        max_running = max(m.max_running for m in self._config.models.values())
        self._limits.set_initial(max(1.0, max_running / nodes))

    def _on_vm_entry(
        self, entry: fleet_messages.GossipEntry, source: str
    ) -> None:
        name = entry.key.removeprefix(vm_poller.KEY_PREFIX)
        try:
            vm = vm_poller.parse(entry)
        except ValueError:
            self._counters.count("rumours.malformed")
            return
        models = self._directory.ready_models(name)
        if vm is None:
            self._directory.remove_vm(name)
        else:
            self._directory.update_vm(vm)
        self._generations.update_replicas(sorted(models))

    def _on_domains_changed(self, unreachable: frozenset[str]) -> None:
        self._directory.set_unreachable(unreachable)
        self._refresh_all()

    def _on_replicas_changed(self, models: set[str]) -> None:
        self._generations.update_replicas(sorted(models))

    def _refresh_all(self) -> None:
        if self._config is not None:
            self._generations.update_replicas(list(self._config.models))

    async def _close(self) -> None:
        self._vm_poller.close()
        self._config_follower.close()
        self._once.close()
        self._suspect_gossip.close()
        self._generations.close()
        await self._once_slots.close()
        await self._planning.close()
        await self._slots.close()
        self._neighbours.close()
        await self._backends.close()
        await self._key_value.close()

    async def _wait_at_most(
        self, seconds: float, deferred: defer.Deferred[Any]
    ) -> None:
        """Waits for a hand-over that an outage may block, with a time limit."""
        deferred.addTimeout(seconds, self._reactor)
        try:
            await deferred
        except defer.TimeoutError:
            logging.warning("event=hand_over_timeout")

    async def _sleep(self, seconds: float) -> None:
        await task.deferLater(self._reactor, seconds, lambda: None)


def run(settings: schema.NodeSettings) -> None:
    """Runs a node until SIGTERM or SIGINT.

    Args:
      settings: the VM's settings.

    Raises:
      SystemExit: if the node could not start.
    """
    node = Node(settings)

    def stop() -> None:
        stopping = defer.ensureDeferred(node.stop())
        stopping.addErrback(lambda f: logging.error("event=stop %s", f))
        stopping.addBoth(lambda _: default_reactor.stop())

    def on_signal(number: int, frame: Any) -> None:
        default_reactor.callFromThread(stop)

    failures: list[str] = []

    def on_start_failure(failure: Any) -> None:
        failures.append(str(failure.value))
        logging.error("event=start_failed reason=%r", failures[-1])
        default_reactor.stop()

    def begin() -> None:
        signal.signal(signal.SIGTERM, on_signal)
        signal.signal(signal.SIGINT, on_signal)
        defer.ensureDeferred(node.start()).addErrback(on_start_failure)

    default_reactor.callWhenRunning(begin)
    default_reactor.run(installSignalHandlers=False)
    if failures:
        sys.exit(1)
