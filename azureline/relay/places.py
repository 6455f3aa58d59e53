"""Finds a backend server for a request, waiting for a model if that pays."""

from collections.abc import Sequence
import math
import random
from typing import Any

from twisted.internet import defer

from azureline.core import clock as clocks
from azureline.core import errors
from azureline.metrics import counters as metrics
from azureline.relay import asks as asks_lib
from azureline.relay import attempt as attempts
from azureline.relay import eligibility as eligibilities
from azureline.relay import health as healths
from azureline.relay import patience
from azureline.relay import place as place_types
from azureline.relay import placement
from azureline.relay import prefill
from azureline.relay import requests
from azureline.relay import residency as residencies
from azureline.relay import routes
from azureline.relay import run_times
from azureline.relay import servers

# Prompts of this length take an engine long enough to hold up its streams.
_LONG_TOKENS = 1500
# Prompts read back to back for longer than this make streams pause for more
# than 0.6 s, as an event holds the tokens of several steps.
_SHORT_QUEUE_S = 0.2
# A prompt waits for its place for this part of its route's target.
_QUEUE_PART = 0.4
# Between two rounds of questions for one request.
_SOONEST_S = 0.03
_LATEST_S = 0.15
# A caller that was refused by holders that cannot say when comes back then.
_RETURN_S = 0.5
# Engines that are asked for one request.
_MOST_ASKED = 3
# Priorities of engines go from 0 to 9; 5 is that of requests without one.
_LOWEST_PRIORITY = 9


class Places:
    """Chooses servers; owns the counts of what this node has under way."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        rng: random.Random,
        domain: str,
        catalogue: servers.Catalogue,
        residency: residencies.Residency,
        eligibility: eligibilities.Eligibility,
        asks: place_types.Asks,
        demand: place_types.Demand,
        times: run_times.RunTimes,
        counters: metrics.Counters,
    ):
        """Creates a chooser with nothing under way."""
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._domain = domain
        self._catalogue = catalogue
        self._residency = residency
        self._eligibility = eligibility
        self._asks = asks
        self._demand = demand
        self._times = times
        self._counters = counters
        self._health = healths.Health()
        self._paces = prefill.Paces()
        self._under_way: dict[str, int] = {}
        # Requests that were under way when a server's load was told.
        self._then: dict[str, int] = {}
        self._waiting: set[defer.Deferred[None]] = set()

    async def find(
        self,
        request: requests.CallerRequest,
        route: routes.Route,
        service: routes.Service,
        answer_by: float,
        deadline: float,
        tried: tuple[str, ...],
        only: str = "",
    ) -> place_types.Place | errors.Refusal:
        """Returns a place, or why there is none.

        Args:
          request: the request.
          route: its route.
          service: the service that serves it.
          answer_by: when its caller leaves unless the answer has begun.
          deadline: when its caller's time is over.
          tried: ids of servers that it shall not go to.
          only: id of the one server that it shall go to, or "" for any.
        """
        if service.engine is None or not request.model:
            return await self._plain(service, answer_by, deadline, tried, only)
        self._demand.arrived(
            service.name,
            request.model,
            route.rank,
            self._times.work(route, request),
            self._times.aims(route),
        )
        candidates = await self._holders(
            request, route, service, answer_by, deadline
        )
        if isinstance(candidates, errors.Refusal):
            return candidates
        fresh = [c for c in candidates if c.server_id not in tried]
        fresh = [c for c in candidates if c.server_id == only] or fresh
        return await self._engine(request, route, fresh or candidates, deadline)

    def usable(
        self, request: requests.CallerRequest, service: routes.Service
    ) -> place_types.Usable:
        """Returns the servers that could serve a request now."""
        now = self._clock.now()
        known = self._catalogue.of_service(service.name)
        sound = [s for s in known if not self._has_ended(s, now)]
        fit = sound
        if service.engine is not None and request.model:
            fit = [
                s for s in sound if self._residency.holds(s, request.model, now)
            ]
        opened, _ = self._opened(fit, now)
        ids = tuple(server.server_id for server in opened)
        return place_types.Usable(ids, len(sound), len(known))

    def may_send(self, place: place_types.Place) -> bool:
        """Returns whether a place's server may be sent a request now."""
        verdict = self._eligibility.check(place.server, self._clock.now())
        return isinstance(verdict, eligibilities.Open)

    def sent(self, place: place_types.Place) -> None:
        """Learns that a request is sent to a place."""
        self._eligibility.sent(place.server, self._clock.now())

    def server_ended(self, server: tuple[str, int]) -> None:
        """Learns that a start of a server has ended."""
        self._health.note_ended(server, self._clock.now())

    def _has_ended(self, server: servers.BackendServer, now: float) -> bool:
        return self._health.has_ended(server.incarnation, now)

    def done(
        self,
        place: place_types.Place,
        result: attempts.Result | None = None,
        took_s: float = 0.0,
        parts: int = 0,
    ) -> None:
        """Learns that a place is free again, and how it went.

        Args:
          place: the place.
          result: how the attempt ended; None if nothing was sent.
          took_s: seconds that it took.
          parts: events of the answer that were passed on.
        """
        server = place.server
        if place.adapter_ask:
            self._asks.done(server.server_id, place.adapter_ask)
        left = self._under_way.get(server.server_id, 1) - 1
        if left > 0:
            self._under_way[server.server_id] = left
        else:
            self._under_way.pop(server.server_id, None)
        if place.model:
            self._demand.under_way(server.service, place.model, -1)
        if result is None or result.end is attempts.End.CANCELLED:
            return
        good = result.end is attempts.End.DELIVERED
        if result.wrong_server:
            return
        if good and place.route:
            self._times.note(place.route, took_s, parts, place.reading_s)
        self._health.note(server.incarnation, good, took_s, self._clock.now())

    def first_part(self, place: place_types.Place, first_s: float) -> None:
        """Learns how long an engine took to begin an answer."""
        server = place.server
        self._health.note_first(server.incarnation, first_s, self._clock.now())
        if place.reading_s > 0:
            took_s = first_s - place.ahead_s
            self._paces.note(
                server.server_id,
                place.model,
                place.reading_s,
                took_s,
                self._clock.now(),
            )

    def denied(
        self, place: place_types.Place, request: requests.CallerRequest
    ) -> None:
        """Learns that a server does not have what a request needs."""
        self._residency.deny(
            place.server.server_id, request.model, self._clock.now()
        )

    def unreachable(self, place: place_types.Place) -> None:
        """Learns that a server could not be connected to."""
        if place.model:
            self._counters.count("engines.unreachable")
            self._residency.deny(
                place.server.server_id, place.model, self._clock.now()
            )

    def load_told(self, server_id: str) -> None:
        """Learns that a server's load was told just now."""
        self._then[server_id] = self._under_way.get(server_id, 0)

    def changed(self) -> None:
        """Lets waiting requests look again."""
        waiting, self._waiting = self._waiting, set()
        for waiter in waiting:
            waiter.callback(None)

    async def _plain(
        self,
        service: routes.Service,
        answer_by: float,
        deadline: float,
        tried: tuple[str, ...],
        only: str,
    ) -> place_types.Place | errors.Refusal:
        while True:
            now = self._clock.now()
            known = self._catalogue.of_service(service.name)
            if not known:
                return errors.Refusal(
                    errors.ErrorKind.NO_REPLICA, "The service has no server."
                )
            opened, opens_at = self._opened(known, now)
            if opened:
                break
            refusal = await self._sit_out(opens_at, answer_by, deadline)
            if refusal is not None:
                return refusal
        fresh = [s for s in opened if s.server_id not in tried]
        fresh = [s for s in opened if s.server_id == only] or fresh
        candidates = [self._candidate(s) for s in fresh or opened]
        best = placement.by_load(candidates, self._rng.random)[0]
        return self._take(place_types.Place(best.server))

    async def _sit_out(
        self, opens_at: float, answer_by: float, deadline: float
    ) -> errors.Refusal | None:
        """Waits for the end of a pause of all servers, if that is soon."""
        now = self._clock.now()
        decision = patience.decide_pause(
            now, opens_at, answer_by, deadline, self._rng.random()
        )
        if isinstance(decision, errors.Refusal):
            self._counters.count("pauses.refused")
            return decision
        self._counters.count("pauses.waited")
        await self._wait(decision.until - now)
        return None

    def _opened(
        self, known: Sequence[servers.BackendServer], now: float
    ) -> tuple[list[servers.BackendServer], float]:
        """Returns servers that may be sent to, and when the next one may."""
        opened, opens_at = [], math.inf
        for server in known:
            match self._eligibility.check(server, now):
                case eligibilities.Open():
                    opened.append(server)
                case eligibilities.Shut(until=until):
                    opens_at = min(opens_at, until)
        return opened, opens_at

    async def _engine(
        self,
        request: requests.CallerRequest,
        route: routes.Route,
        holders: list[servers.BackendServer],
        deadline: float,
    ) -> place_types.Place | errors.Refusal:
        candidates = [self._engine_candidate(s, request) for s in holders]
        # Reading a long prompt again takes longer than its answer's way.
        long = request.prompt_tokens >= _LONG_TOKENS
        ordered = placement.by_affinity(
            candidates, _affinity(request), near_first=not long
        )
        priority = min(_LOWEST_PRIORITY, route.rank)
        if not request.adapter and not long:
            return self._take(
                place_types.Place(
                    ordered[0].server,
                    priority,
                    model=request.model,
                    route=route.name,
                )
            )
        tried = [c.server for c in ordered[:_MOST_ASKED]]
        give_up_at = self._clock.now() + route.target_s * _QUEUE_PART
        backlogs = dict.fromkeys((s.server_id for s in tried), 0.0)
        while True:
            late = self._clock.now() >= give_up_at
            most_s = route.timeout_s if late else _SHORT_QUEUE_S
            if late:
                tried.sort(key=lambda s: backlogs[s.server_id])
            reason, ready_s = "", []
            for server in tried:
                place = self._take(
                    place_types.Place(
                        server,
                        priority,
                        model=request.model,
                        route=route.name,
                    )
                )
                answer = await self._ask(request, place, most_s)
                if answer.granted:
                    return place._replace(
                        adapter_ask=answer.ask if request.adapter else 0,
                        reading_s=answer.reading_s,
                        ahead_s=max(0.0, answer.backlog_s - answer.wait_s),
                    )
                reason = answer.reason
                ready_s.append(answer.wait_s or _RETURN_S)
                backlogs[server.server_id] = answer.backlog_s
            if late or not any(backlogs.values()):
                break
            # The shortest queue is short enough after this time.
            wait_s = min(backlogs.values()) - _SHORT_QUEUE_S
            await self._sleep(min(max(wait_s, _SOONEST_S), _LATEST_S))
        return errors.Refusal(
            errors.ErrorKind.NO_REPLICA,
            f"No engine can take the request: {reason}.",
            retry_after=patience.return_after(
                self._clock.now(), deadline, min(ready_s)
            ),
            ran=errors.Ran.NO,
        )

    async def _ask(
        self,
        request: requests.CallerRequest,
        place: place_types.Place,
        most_s: float,
    ) -> asks_lib.Answer:
        """Asks for a place, and gives it back if it is not granted."""
        prompt = prefill.Prompt(
            f"{request.model}/{request.adapter}",
            request.prompt_tokens,
            request.shared_parts,
            self._paces.of(
                place.server.server_id, request.model, self._clock.now()
            ),
        )
        granted = place
        try:
            answer = await self._asks.ask(
                place.server, request.model, request.adapter, prompt, most_s
            )
            if answer.granted and request.adapter:
                granted = place._replace(adapter_ask=answer.ask)
            if answer.granted and answer.wait_s > 0:
                await self._sleep(answer.wait_s)
        except defer.CancelledError:
            self.done(granted)
            raise
        if not answer.granted:
            self.done(place)
        return answer

    async def _holders(
        self,
        request: requests.CallerRequest,
        route: routes.Route,
        service: routes.Service,
        answer_by: float,
        deadline: float,
    ) -> list[servers.BackendServer] | errors.Refusal:
        """Returns the engines with the request's model, once there are any."""
        model, since = request.model, self._clock.now()
        assert service.engine is not None
        spec = service.engine.models.get(model)
        waits = False
        try:
            while True:
                now = self._clock.now()
                holders = self._residency.holders_of(service.name, model, now)
                opened, opens_at = self._opened(holders, now)
                if opened:
                    return opened
                if holders:
                    refusal = await self._sit_out(opens_at, answer_by, deadline)
                    if refusal is not None:
                        return refusal
                    continue
                if not waits:
                    waits = True
                    self._demand.waiting(service.name, model, route.rank, 1)
                coming = self._residency.coming(service.name, model)
                decision = patience.decide(
                    now,
                    since,
                    answer_by,
                    deadline,
                    spec.disk_s if spec else 0.0,
                    coming.at if coming else None,
                )
                if isinstance(decision, errors.Refusal):
                    self._demand.refused(service.name, model, route.rank)
                    return decision
                await self._wait(decision.until - now)
        finally:
            if waits:
                self._demand.waiting(service.name, model, route.rank, -1)

    async def _wait(self, seconds: float) -> None:
        """Waits for a change of what engines hold, or for a time."""
        waiter: defer.Deferred[None] = defer.Deferred()
        self._waiting.add(waiter)

        def expired() -> None:
            self._waiting.discard(waiter)
            waiter.callback(None)

        timer = self._reactor.callLater(max(0.0, seconds), expired)
        try:
            await waiter
        finally:
            self._waiting.discard(waiter)
            if timer.active():
                timer.cancel()

    async def _sleep(self, seconds: float) -> None:
        waiter: defer.Deferred[None] = defer.Deferred()
        timer = self._reactor.callLater(seconds, waiter.callback, None)
        try:
            await waiter
        finally:
            if timer.active():
                timer.cancel()

    def _candidate(self, server: servers.BackendServer) -> placement.Candidate:
        own = self._under_way.get(server.server_id, 0)
        since = own - self._then.get(server.server_id, 0)
        return placement.Candidate(
            server,
            load=max(own, self._residency.load_of(server) + since),
            penalty=self._health.penalty(server.incarnation, self._clock.now()),
            far=server.domain != self._domain,
        )

    def _engine_candidate(
        self, server: servers.BackendServer, request: requests.CallerRequest
    ) -> placement.Candidate:
        ready = not request.adapter or self._residency.has_adapter(
            server, request.model, request.adapter
        )
        return self._candidate(server)._replace(
            ready=ready,
            busy=self._residency.busy(server),
            reading=self._residency.reading_of(server),
        )

    def _take(self, place: place_types.Place) -> place_types.Place:
        name = place.server.server_id
        self._under_way[name] = self._under_way.get(name, 0) + 1
        if place.model:
            self._demand.under_way(place.server.service, place.model, 1)
        return place


def _affinity(request: requests.CallerRequest) -> str:
    """Returns what requests have in common that should meet."""
    if request.adapter:
        return f"{request.model}/{request.adapter}"
    shared = ",".join(part.name for part in request.shared_parts)
    return f"{request.model} {shared}"
