"""Assigns requests to the engines of a service in the order of their costs."""

from collections.abc import Awaitable
from collections.abc import Sequence
from typing import Protocol

from twisted.internet import defer

from azureline.core import clock as clocks
from azureline.core import errors
from azureline.engine_choice import chooser
from azureline.engine_choice import options
from azureline.engine_choice import selection
from azureline.relay import assignment as assignments
from azureline.relay import eligibility as eligibilities
from azureline.relay import in_flight as in_flight_lib
from azureline.relay import prefill
from azureline.relay import requests
from azureline.relay import reserved_assignment
from azureline.relay import routes
from azureline.relay import server_choice
from azureline.relay import servers

# Engines that receive a reservation request for one request.
_MAX_ENGINES_ASKED = 3
# Engines take priorities from 0 to 9; a request without one counts as 5.
_LOWEST_PRIORITY = 9


class Choose(Protocol):
    """Chooses the first of the ranked servers that may get a request."""

    def __call__(
        self,
        ranked: Sequence[options.Option],
        route: routes.Route,
        latest: float,
        deadline: float,
    ) -> Awaitable[server_choice.Chosen | errors.Refusal | None]:
        """Returns the server; None if they have to be ranked anew."""


class EngineAssigner:
    """Assigns requests of one node to engines."""

    def __init__(
        self,
        clock: clocks.Clock,
        engine_choice: chooser.EngineChoice,
        in_flight: in_flight_lib.InFlight,
        eligibility: eligibilities.Eligibility,
        read_time_ratios: prefill.ReadTimeRatios,
        choose: Choose,
        choice: server_choice.ServerChoice,
        reserved: reserved_assignment.ReservedAssignment,
        weighs_prefixes: bool,
    ):
        """Creates an instance.

        Args:
          clock: source of time.
          engine_choice: ranks the engines.
          in_flight: the requests that this node has in flight.
          eligibility: which engines may be sent requests.
          read_time_ratios: how long engines take to prefill prompts.
          choose: chooses among ranked engines.
          choice: takes back grants that were not used.
          reserved: assigns requests that need a reservation.
          weighs_prefixes: whether what an engine caches is weighed against the
            waits; if not, engines are ordered by affinity.
        """
        self._clock = clock
        self._engine_choice = engine_choice
        self._in_flight = in_flight
        self._eligibility = eligibility
        self._read_time_ratios = read_time_ratios
        self._choose = choose
        self._choice = choice
        self._reserved = reserved
        self._weighs_prefixes = weighs_prefixes

    def rank(
        self,
        request: requests.CallerRequest,
        profile: options.RequestProfile,
        holders: Sequence[servers.BackendServer],
    ) -> list[options.Option]:
        """Returns the engines in the order to try; changes no state."""
        now = self._clock.now()
        found = [self._in_flight.engine_candidate(s, request) for s in holders]
        if not self._weighs_prefixes:
            return selection.rank_by_affinity(
                profile.affinity, profile.is_long, found
            )
        ratio_of = self._read_time_ratios.get
        return self._engine_choice.rank(
            profile,
            [
                (c, ratio_of(c.server.server_id, request.model, now))
                for c in found
            ],
        )

    async def assign(
        self,
        request: requests.CallerRequest,
        route: routes.Route,
        spec: routes.EngineSpec,
        holders: Sequence[servers.BackendServer],
        latest: float,
        deadline: float,
    ) -> assignments.Assignment | errors.Refusal | None:
        """Returns an assignment; None if the engines have to be ranked anew.

        Args:
          request: the request.
          route: its route.
          spec: properties of the engines of its service.
          holders: engines that hold its model.
          latest: latest monotonic time, in seconds, to send it.
          deadline: monotonic time in seconds of its deadline.
        """
        profile = self._engine_choice.profile(request, route, spec)
        ranked = self.rank(request, profile, holders)
        chosen = await self._choose(ranked, route, latest, deadline)
        if not isinstance(chosen, server_choice.Chosen):
            return chosen
        tried = [o for o in ranked if o.server == chosen.server]
        assignment = assignments.Assignment(
            chosen.server,
            min(_LOWEST_PRIORITY, route.rank),
            model=request.model,
            route=route.name,
            grant=chosen.grant,
        )
        if not request.adapter and not profile.is_long:
            self._engine_choice.record_choice(profile, tried[0])
            self._engine_choice.record_sent(tried[0])
            return self._in_flight.add(assignment)
        if chosen.grant is None:
            tried = self._open(ranked)[:_MAX_ENGINES_ASKED]
        return await self._assign_reserved(
            request, route, profile, assignment, tried, deadline
        )

    async def _assign_reserved(
        self,
        request: requests.CallerRequest,
        route: routes.Route,
        profile: options.RequestProfile,
        assignment: assignments.Assignment,
        tried: list[options.Option],
        deadline: float,
    ) -> assignments.Assignment | errors.Refusal:
        template = assignment._replace(grant=None)
        try:
            assigned = await self._reserved.assign(
                request, route, profile, template, tried, deadline
            )
        except defer.CancelledError:
            self._give_back(assignment)
            raise
        if isinstance(assigned, errors.Refusal):
            self._give_back(assignment)
            return assigned
        for option in tried:
            if option.server == assigned.server:
                self._engine_choice.record_choice(profile, option)
        return assigned._replace(grant=assignment.grant)

    def _give_back(self, assignment: assignments.Assignment) -> None:
        if assignment.grant is not None:
            self._choice.give_back(assignment.grant)

    def _open(self, ranked: Sequence[options.Option]) -> list[options.Option]:
        now = self._clock.now()
        return [
            o
            for o in ranked
            if isinstance(
                self._eligibility.check(o.server, now), eligibilities.Open
            )
        ]
