"""A place that was found for a request, and who helps to find it."""

from typing import NamedTuple
from typing import Protocol

from twisted.internet import defer

from azureline.relay import asks as asks_lib
from azureline.relay import capacity
from azureline.relay import prefill
from azureline.relay import servers


class Place(NamedTuple):
    """A server that was chosen for a request.

    Attributes:
      server: the server.
      priority: rank at an engine; None at plain servers.
      adapter_ask: number of the question by which its engine's holder granted
        it an adapter; 0 if it did not.
      model: the request's model, or "".
      reading_s: seconds to read its prompt at the nominal rate.
      ahead_s: seconds that prompts before it take at the engine.
      route: name of the request's route, or "".
    """

    server: servers.BackendServer
    priority: int | None = None
    adapter_ask: int = 0
    model: str = ""
    reading_s: float = 0.0
    ahead_s: float = 0.0
    route: str = ""


class Usable(NamedTuple):
    """Servers that could serve a request now.

    Attributes:
      ids: ids of those that hold what it needs and have not just ended.
      sound: servers of the service that have not just ended.
      known: servers of the service.
    """

    ids: tuple[str, ...]
    sound: int
    known: int


class Asks(Protocol):
    """Asks holders for room at their engines."""

    def ask(
        self,
        server: servers.BackendServer,
        model: str,
        adapter: str,
        prompt: prefill.Prompt,
        most_s: float,
    ) -> defer.Deferred[asks_lib.Answer]:
        """Returns what the engine's holder says."""

    def done(self, server_id: str, number: int) -> None:
        """Tells a holder that a request that it granted has ended."""


class Demand(Protocol):
    """Learns what callers ask for."""

    def arrived(
        self,
        service: str,
        model: str,
        rank: int,
        work: capacity.Work,
        aims: capacity.Aims,
    ) -> None:
        """Counts a request, what it should take and what its caller wants."""

    def waiting(self, service: str, model: str, rank: int, by: int) -> None:
        """Counts requests that begin (1) or cease (-1) to wait."""

    def under_way(self, service: str, model: str, by: int) -> None:
        """Counts requests that go to an engine (1) or have ended (-1)."""

    def refused(self, service: str, model: str, rank: int) -> None:
        """Counts a request that was refused for want of its model."""
