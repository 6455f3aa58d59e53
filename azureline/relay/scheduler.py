"""Schedules requests: assigns backend servers, waiting for models to load."""

from collections.abc import Sequence
import random
from typing import Any

from twisted.internet import task

from azureline.core import clock as clocks
from azureline.core import errors
from azureline.engine_choice import assigner
from azureline.engine_choice import chooser
from azureline.engine_choice import options
from azureline.metrics import counters as metrics
from azureline.operators import explanations
from azureline.relay import assignment as assignments
from azureline.relay import attempt as attempts
from azureline.relay import eligibility as eligibilities
from azureline.relay import exchange_refusals
from azureline.relay import health as healths
from azureline.relay import in_flight
from azureline.relay import prefill
from azureline.relay import ranking
from azureline.relay import requests
from azureline.relay import reserved_assignment
from azureline.relay import residency as residencies
from azureline.relay import routes
from azureline.relay import run_times
from azureline.relay import server_choice
from azureline.relay import servers
from azureline.relay import wait_policy
from azureline.relay import waiters


class Scheduler:
    """Scheduler of one node; counts the node's requests in flight."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        rng: random.Random,
        domain: str,
        catalogue: servers.Catalogue,
        residency: residencies.Residency,
        eligibility: eligibilities.Eligibility,
        choice: server_choice.ServerChoice,
        reservations: assignments.ReservationClient,
        demand: assignments.DemandRecorder,
        times: run_times.RunTimes,
        engine_choice: chooser.EngineChoice,
        counters: metrics.Counters,
        weighs_prefixes: bool = False,
    ):
        """Creates a scheduler without requests in flight.

        Args:
          reactor: the Twisted reactor.
          clock: source of time.
          rng: source of random tie-breaks and spreads.
          domain: failure domain of this node.
          catalogue: the backend servers.
          residency: what engines hold.
          eligibility: records the requests sent to servers.
          choice: chooses among the servers that may be sent requests.
          reservations: client for reservation requests to lease holders.
          demand: records demand per model.
          times: running times of requests per route.
          engine_choice: ranks the engines of a service.
          counters: counts waits and refusals.
          weighs_prefixes: whether what an engine caches is weighed against the
            waits.
        """
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._catalogue = catalogue
        self._residency = residency
        self._eligibility = eligibility
        self._choice = choice
        self._reservations = reservations
        self._demand = demand
        self._times = times
        self._engine_choice = engine_choice
        self._counters = counters
        self._health = healths.ServerHealth()
        self._in_flight = in_flight.InFlight(
            clock, domain, residency, self._health, demand
        )
        self._read_time_ratios = prefill.ReadTimeRatios()
        self._engine_assigner = assigner.EngineAssigner(
            clock,
            engine_choice,
            self._in_flight,
            eligibility,
            self._read_time_ratios,
            self._choose,
            choice,
            reserved_assignment.ReservedAssignment(
                reactor,
                clock,
                reservations,
                self._read_time_ratios,
                engine_choice,
                self._in_flight.add,
                self.release,
            ),
            weighs_prefixes,
        )
        self._waiters = waiters.Waiters(reactor)

    async def assign(
        self,
        request: requests.CallerRequest,
        route: routes.Route,
        service: routes.Service,
        first_event_deadline: float,
        deadline: float,
        tried_servers: tuple[str, ...],
        only_server: str = "",
    ) -> assignments.Assignment | errors.Refusal:
        """Returns an assignment, or the refusal if there is none.

        Args:
          request: the request.
          route: its route.
          service: the service that serves it.
          first_event_deadline: monotonic time in seconds at which its caller
            disconnects unless the answer has begun.
          deadline: monotonic time in seconds of its deadline.
          tried_servers: ids of servers that it avoids while there are others.
          only_server: id of the server that it should go to, or "" for any.
        """
        if service.engine is None or not request.model:
            return await self._assign_plain(
                request,
                route,
                service,
                first_event_deadline,
                deadline,
                tried_servers,
                only_server,
            )
        self._demand.record_arrival(
            service.name,
            request.model,
            route.rank,
            self._times.expected_load(route, request),
            self._times.latency_targets(route),
        )
        while True:
            candidates = await self._wait_for_model(
                request, route, service, first_event_deadline, deadline
            )
            if isinstance(candidates, errors.Refusal):
                return candidates
            assigned = await self._engine_assigner.assign(
                request,
                route,
                service.engine,
                ranking.preferred(candidates, tried_servers, only_server),
                wait_policy.latest_send(first_event_deadline),
                deadline,
            )
            if assigned is not None:
                return assigned

    def usable_servers(
        self, request: requests.CallerRequest, service: routes.Service
    ) -> assignments.UsableServers:
        """Returns the servers that could serve a request now."""
        now = self._clock.now()
        all_servers = self._of_version(
            request, self._catalogue.of_service(service.name)
        )
        running = [s for s in all_servers if not self._ended_recently(s, now)]
        capable = running
        if service.engine is not None and request.model:
            capable = [
                s
                for s in running
                if self._residency.holds(s, request.model, now)
            ]
        usable = self._choice.usable(capable)
        ids = tuple(server.server_id for server in usable.servers)
        return assignments.UsableServers(ids, len(running), len(all_servers))

    def explain(
        self,
        request: requests.CallerRequest,
        route: routes.Route,
        service: routes.Service,
    ) -> explanations.Ranked:
        """Returns where a request would go now; changes no state."""
        assert service.engine is not None
        holders = self._residency.holders_of(
            service.name, request.model, self._clock.now()
        )
        usable = self._choice.usable(holders).servers
        profile = self._engine_choice.profile(request, route, service.engine)
        return explanations.Ranked(
            self._engine_assigner.rank(request, profile, usable),
            [s.server_id for s in holders if s not in usable],
        )

    def may_send(self, assignment: assignments.Assignment) -> bool:
        """Returns whether the assigned server may be sent a request now."""
        return self._choice.may_send(
            server_choice.Chosen(assignment.server, assignment.grant)
        )

    def record_sent(self, assignment: assignments.Assignment) -> None:
        """Records that a request is sent to its assigned server."""
        self._eligibility.record_sent(assignment.server, self._clock.now())

    def record_server_crash(self, server: tuple[str, int]) -> None:
        """Records that one incarnation of a server has crashed or stopped."""
        self._health.note_ended(server, self._clock.now())

    def _ended_recently(
        self, server: servers.BackendServer, now: float
    ) -> bool:
        return self._health.has_ended(server.incarnation, now)

    def release(
        self,
        assignment: assignments.Assignment,
        result: attempts.Result | None = None,
        took_s: float = 0.0,
        events: int = 0,
    ) -> None:
        """Releases an assignment and records the outcome.

        Args:
          assignment: the assignment.
          result: outcome of the attempt; None if nothing was sent.
          took_s: duration of the attempt in seconds.
          events: events of the answer that were passed on.
        """
        server = assignment.server
        if assignment.adapter_reservation:
            self._reservations.release(
                server.server_id, assignment.adapter_reservation
            )
        self._in_flight.remove(assignment)
        if result is None:
            self._give_back(assignment)
        if result is None or result.end is attempts.End.CANCELLED:
            return
        now = self._clock.now()
        if result.end is attempts.End.EXPIRED:
            self._health.record_unanswered(server.incarnation, took_s, now)
            return
        succeeded = result.end is attempts.End.DELIVERED
        if result.wrong_server:
            return
        if succeeded and assignment.route:
            self._times.record(
                assignment.route, took_s, events, assignment.reading_s
            )
        self._health.record_attempt(server.incarnation, succeeded, took_s, now)

    def record_first_part(
        self, assignment: assignments.Assignment, first_s: float
    ) -> None:
        """Records the seconds from the send to the first part of the answer."""
        server = assignment.server
        self._health.record_first_part(
            server.incarnation, first_s, self._clock.now()
        )
        if assignment.reading_s > 0:
            took_s = first_s - assignment.queued_s
            self._engine_choice.record_first_part(assignment, took_s)
            self._read_time_ratios.record(
                server.server_id,
                assignment.model,
                assignment.reading_s,
                took_s,
                self._clock.now(),
            )

    def record_model_missing(
        self,
        assignment: assignments.Assignment,
        request: requests.CallerRequest,
    ) -> None:
        """Records that a server does not have the model of a request."""
        self._residency.deny(
            assignment.server.server_id, request.model, self._clock.now()
        )

    def record_unreachable(self, assignment: assignments.Assignment) -> None:
        """Records that a connection to a server failed."""
        if assignment.model:
            self._counters.count("engines.unreachable")
            self._residency.deny(
                assignment.server.server_id, assignment.model, self._clock.now()
            )

    def record_load_report(self, server_id: str) -> None:
        """Records that a server's load was reported just now."""
        self._in_flight.record_load_report(server_id)
        server = self._catalogue.get(server_id)
        if server is not None:
            self._engine_choice.record_report(
                server, self._residency.reading_of(server)
            )

    def wake_waiting(self) -> None:
        """Wakes waiting requests to check the state again."""
        self._waiters.wake()

    async def _assign_plain(
        self,
        request: requests.CallerRequest,
        route: routes.Route,
        service: routes.Service,
        first_event_deadline: float,
        deadline: float,
        tried_servers: tuple[str, ...],
        only_server: str,
    ) -> assignments.Assignment | errors.Refusal:
        latest = wait_policy.latest_send(first_event_deadline)
        while True:
            all_servers = self._of_version(
                request, self._catalogue.of_service(service.name)
            )
            if not all_servers and request.software_version is not None:
                return exchange_refusals.version_gone(request.software_version)
            if not all_servers:
                return errors.Refusal(
                    errors.ErrorKind.NO_REPLICA, "The service has no server."
                )
            usable = self._choice.usable(all_servers)
            if not usable.servers:
                refusal = await self._wait_for_pause(
                    usable.opens_at, first_event_deadline, deadline
                )
                if refusal is not None:
                    return refusal
                continue
            preferred = ranking.preferred(
                usable.servers, tried_servers, only_server
            )
            ranked = ranking.rank_by_load(
                [self._in_flight.candidate(s) for s in preferred],
                self._rng.random,
            )
            chosen = await self._choose(ranked, route, latest, deadline)
            if isinstance(chosen, errors.Refusal):
                return chosen
            if chosen is not None:
                return self._in_flight.add(
                    assignments.Assignment(chosen.server, grant=chosen.grant)
                )

    async def _choose(
        self,
        ranked: Sequence[ranking.Candidate | options.Option],
        route: routes.Route,
        latest: float,
        deadline: float,
    ) -> server_choice.Chosen | errors.Refusal | None:
        """Returns the server for a request.

        Returns None after a wait, when the servers have to be ranked anew.
        """
        chosen = await self._choice.choose(
            [c.server for c in ranked], route, latest
        )
        if not isinstance(chosen, server_choice.Full):
            return chosen
        decision = self._choice.decide_wait(chosen, latest, deadline)
        if isinstance(decision, errors.Refusal):
            return decision
        await self._sleep(max(0.0, decision.until - self._clock.now()))
        return None

    async def _wait_for_pause(
        self, opens_at: float, first_event_deadline: float, deadline: float
    ) -> errors.Refusal | None:
        """Waits until a paused server opens, or refuses if that is too late."""
        now = self._clock.now()
        decision = wait_policy.decide_pause_wait(
            now, opens_at, first_event_deadline, deadline, self._rng.random()
        )
        if isinstance(decision, errors.Refusal):
            self._counters.count("pauses.refused")
            return decision
        self._counters.count("pauses.waited")
        await self._waiters.wait(decision.until - now)
        return None

    def _give_back(self, assignment: assignments.Assignment) -> None:
        if assignment.grant is not None:
            self._choice.give_back(assignment.grant)

    async def _wait_for_model(
        self,
        request: requests.CallerRequest,
        route: routes.Route,
        service: routes.Service,
        first_event_deadline: float,
        deadline: float,
    ) -> list[servers.BackendServer] | errors.Refusal:
        """Waits for engines that hold the request's model and returns them."""
        model, since = request.model, self._clock.now()
        assert service.engine is not None
        spec = service.engine.models.get(model)
        is_waiting = False
        try:
            while True:
                now = self._clock.now()
                holders = self._of_version(
                    request,
                    self._residency.holders_of(service.name, model, now),
                )
                if not holders and request.software_version is not None:
                    return exchange_refusals.version_gone(
                        request.software_version
                    )
                usable = self._choice.usable(holders)
                if usable.servers:
                    return usable.servers
                if holders:
                    refusal = await self._wait_for_pause(
                        usable.opens_at, first_event_deadline, deadline
                    )
                    if refusal is not None:
                        return refusal
                    continue
                if not is_waiting:
                    is_waiting = True
                    self._demand.add_waiting(service.name, model, route.rank, 1)
                loading = self._residency.next_load(service.name, model)
                decision = wait_policy.decide_model_wait(
                    now,
                    since,
                    first_event_deadline,
                    deadline,
                    spec.disk_s if spec else 0.0,
                    loading.ready_at if loading else None,
                )
                if isinstance(decision, errors.Refusal):
                    self._demand.record_refusal(service.name, model, route.rank)
                    return decision
                await self._waiters.wait(decision.until - now)
        finally:
            if is_waiting:
                self._demand.add_waiting(service.name, model, route.rank, -1)

    def _of_version(
        self,
        request: requests.CallerRequest,
        all_servers: list[servers.BackendServer],
    ) -> list[servers.BackendServer]:
        """Returns the servers whose software version may serve a request.

        A server that has just ended may start again at another version.
        """
        version = request.software_version
        if version is None:
            return all_servers
        now = self._clock.now()
        return [
            server
            for server in all_servers
            if server.software_version == version
            and not self._ended_recently(server, now)
        ]

    async def _sleep(self, seconds: float) -> None:
        await task.deferLater(self._reactor, seconds, lambda: None)
