"""Counts the requests that are in flight, and rates servers by their load."""

from azureline.core import clock as clocks
from azureline.relay import assignment as assignments
from azureline.relay import demand_reports
from azureline.relay import health as healths
from azureline.relay import ranking
from azureline.relay import requests
from azureline.relay import residency as residencies
from azureline.relay import servers


class InFlight:
    """The requests that this node has in flight, by server."""

    def __init__(
        self,
        clock: clocks.Clock,
        domain: str,
        residency: residencies.Residency,
        health: healths.ServerHealth,
        demand: demand_reports.DemandReporter,
    ):
        """Creates an instance without requests.

        Args:
          clock: source of time.
          domain: failure domain of this node.
          residency: what engines hold, and their reported loads.
          health: recent failures of servers.
          demand: records demand per model.
        """
        self._clock = clock
        self._domain = domain
        self._residency = residency
        self._health = health
        self._demand = demand
        self._counts: dict[str, int] = {}
        # Requests in flight when a server's load was last reported.
        self._at_report: dict[str, int] = {}

    def add(self, assignment: assignments.Assignment) -> assignments.Assignment:
        """Counts an assigned request; returns its assignment."""
        name = assignment.server.server_id
        self._counts[name] = self._counts.get(name, 0) + 1
        if assignment.model:
            self._demand.add_in_flight(
                assignment.server.service, assignment.model, 1
            )
        return assignment

    def remove(self, assignment: assignments.Assignment) -> None:
        """Counts the end of an assigned request."""
        name = assignment.server.server_id
        remaining = self._counts.get(name, 1) - 1
        if remaining > 0:
            self._counts[name] = remaining
        else:
            self._counts.pop(name, None)
        if assignment.model:
            self._demand.add_in_flight(
                assignment.server.service, assignment.model, -1
            )

    def record_load_report(self, server_id: str) -> None:
        """Records that a server's load was reported just now."""
        self._at_report[server_id] = self._counts.get(server_id, 0)

    def candidate(self, server: servers.BackendServer) -> ranking.Candidate:
        """Returns a server with its load."""
        in_flight = self._counts.get(server.server_id, 0)
        started = in_flight - self._at_report.get(server.server_id, 0)
        return ranking.Candidate(
            server,
            load=max(in_flight, self._residency.load_of(server) + started),
            penalty=self._health.penalty(server.incarnation, self._clock.now()),
            other_domain=server.domain != self._domain,
        )

    def engine_candidate(
        self, server: servers.BackendServer, request: requests.CallerRequest
    ) -> ranking.Candidate:
        """Returns an engine with its load and what it holds of a request."""
        ready = not request.adapter or self._residency.has_adapter(
            server, request.model, request.adapter
        )
        return self.candidate(server)._replace(
            ready=ready,
            busy=self._residency.busy(server),
            reading_ratio=self._residency.reading_of(server),
        )
