"""Assignments of requests to servers, and what the scheduler depends on."""

from typing import NamedTuple
from typing import Protocol

from twisted.internet import defer

from azureline.relay import capacity
from azureline.relay import grants
from azureline.relay import prefill
from azureline.relay import reservations
from azureline.relay import servers


class Assignment(NamedTuple):
    """Assignment of a request to a backend server.

    Attributes:
      server: the server.
      priority: priority at an engine, 0 is the most urgent; None at plain
        servers.
      adapter_reservation: number of the reservation request by which the lease
        holder reserved an adapter; 0 without such a reservation.
      model: the request's model, or "".
      reading_s: seconds to read its prompt at the nominal rate.
      queued_s: seconds that the engine needs for prompts queued before it.
      route: name of the request's route, or "".
      grant: grant to send the request, if the server names a limit.
      cached_s: seconds of reading at the nominal rate that the engine's cache
        saves, as its lease holder expects; 0 if unknown.
    """

    server: servers.BackendServer
    priority: int | None = None
    adapter_reservation: int = 0
    model: str = ""
    reading_s: float = 0.0
    queued_s: float = 0.0
    route: str = ""
    grant: grants.Grant | None = None
    cached_s: float = 0.0


class UsableServers(NamedTuple):
    """Servers that could serve a request now.

    Attributes:
      ids: ids of those that hold its model, accept requests and have not
        crashed or stopped recently.
      running: number of the service's servers that have not crashed or stopped
        recently.
      total: number of the service's servers.
    """

    ids: tuple[str, ...]
    running: int
    total: int


class ReservationClient(Protocol):
    """Client for reservation requests to the lease holders of engines."""

    def reserve(
        self,
        server: servers.BackendServer,
        model: str,
        adapter: str,
        prompt: prefill.Prompt,
        max_backlog_s: float,
    ) -> defer.Deferred[reservations.ReservationResult]:
        """Sends a reservation request to the engine's lease holder.

        Args:
          server: the engine.
          model: the request's model.
          adapter: its adapter, or "".
          prompt: its prompt.
          max_backlog_s: longest queue of prompts to accept, in seconds.

        Returns:
          The reservation reply.
        """

    def release(self, server_id: str, reservation_id: int) -> None:
        """Releases a reservation.

        Args:
          server_id: the engine.
          reservation_id: number of the reservation request.
        """


class DemandRecorder(Protocol):
    """Records the demand for models."""

    def record_arrival(
        self,
        service: str,
        model: str,
        rank: int,
        load: capacity.RequestLoad,
        targets: capacity.LatencyTargets,
    ) -> None:
        """Counts a request.

        Args:
          service: its service.
          model: its model.
          rank: its rank; 0 is the most urgent.
          load: the expected load of the request.
          targets: latency targets of its route.
        """

    def add_waiting(self, service: str, model: str, rank: int, by: int) -> None:
        """Counts requests that start (1) or stop (-1) waiting for a model."""

    def add_in_flight(self, service: str, model: str, by: int) -> None:
        """Counts requests that are assigned (1) to an engine or ended (-1)."""

    def record_refusal(self, service: str, model: str, rank: int) -> None:
        """Counts a request that was refused because no engine had its model."""
