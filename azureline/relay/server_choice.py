"""Chooses the server that a request goes to, among those that may get it.

Servers that name a limit take part like the others while the limit leaves room
at once.  A request waits for its turn at one of them only if no other server
can take it.
"""

from collections.abc import Sequence
import math
from typing import NamedTuple

from azureline.core import clock as clocks
from azureline.core import errors
from azureline.metrics import counters as metrics
from azureline.relay import eligibility as eligibilities
from azureline.relay import grants as grants_lib
from azureline.relay import routes
from azureline.relay import server_limits
from azureline.relay import servers
from azureline.relay import wait_policy

# Limited servers that are asked for one request, if others can take it.
_MAX_ASKED = 3
# A request waits for a booked call for this part of its route's target latency,
# or for one call of the limit: with a longer queue all answers would be late.
_WAIT_RATIO = 0.4
# A server whose limit is used up is asked again after this time at the latest.
_MAX_FULL_S = 0.5


class Usable(NamedTuple):
    """Servers that may get a request, now or with a grant.

    Attributes:
      servers: the servers.
      opens_at: monotonic time in seconds at which the first of the other
        servers opens; infinite if none does.
    """

    servers: list[servers.BackendServer]
    opens_at: float


class Chosen(NamedTuple):
    """The server that a request goes to.

    Attributes:
      server: the server.
      grant: the grant to send the request, if the server names a limit.
    """

    server: servers.BackendServer
    grant: grants_lib.Grant | None = None


class Full(NamedTuple):
    """Falsy sentinel: the limits of all servers are used up.

    Attributes:
      turn_at: monotonic time in seconds at which it is the request's turn.
      server: the server whose limit leaves room first.
      per_s: its limit in calls a second.
      answered: whether the server's lease holder said so.
    """

    turn_at: float
    server: servers.BackendServer
    per_s: float
    answered: bool

    def __bool__(self) -> bool:
        return False


class ServerChoice:
    """Chooses servers by their eligibility and by grants."""

    def __init__(
        self,
        clock: clocks.Clock,
        eligibility: eligibilities.Eligibility,
        grants: grants_lib.GrantClient,
        counters: metrics.Counters,
    ):
        """Creates an instance.

        Args:
          clock: source of time.
          eligibility: which servers may be sent requests.
          grants: requests grants from lease holders.
          counters: counts the requests that find all limits used up.
        """
        self._clock = clock
        self._eligibility = eligibility
        self._grants = grants
        self._counters = counters

    def usable(self, all_servers: Sequence[servers.BackendServer]) -> Usable:
        """Returns the servers that may get a request."""
        now = self._clock.now()
        found, opens_at = [], math.inf
        for server in all_servers:
            match self._eligibility.check(server, now):
                case eligibilities.Closed(until=until):
                    opens_at = min(opens_at, until)
                case _:
                    found.append(server)
        return Usable(found, opens_at)

    def may_send(self, chosen: Chosen) -> bool:
        """Returns whether a chosen server may be sent the request now."""
        verdict = self._eligibility.check(chosen.server, self._clock.now())
        match verdict:
            case eligibilities.Open():
                return True
            case eligibilities.Limited():
                return chosen.grant is not None and self._grants.is_usable(
                    chosen.grant
                )
            case _:
                return False

    def give_back(self, grant: grants_lib.Grant) -> None:
        """Keeps a grant that was not used for another request."""
        self._grants.give_back(grant)

    async def choose(
        self,
        ranked: Sequence[servers.BackendServer],
        route: routes.Route,
        latest: float,
    ) -> Chosen | Full | None:
        """Returns the server for a request.

        Args:
          ranked: the servers that may get it, the best first.
          route: its route.
          latest: latest monotonic time, in seconds, to send it.

        Returns:
          The server, or when to try again, or None if all have closed.
        """
        asked = 0
        limited: list[tuple[float, servers.BackendServer, float]] = []
        for server in ranked:
            now = self._clock.now()
            verdict = self._eligibility.check(server, now)
            match verdict:
                case eligibilities.Open():
                    return Chosen(server)
                case eligibilities.Limited(per_s=per_s, free_at=free_at):
                    has_others = len(ranked) > 1
                    if has_others and free_at <= now and asked < _MAX_ASKED:
                        asked += 1
                        grant = await self._acquire(server, route.rank, 0.0)
                        if isinstance(grant, grants_lib.Grant):
                            return Chosen(server, grant)
                        free_at = grant.free_at
                    limited.append((free_at, server, per_s))
        if not limited:
            return None
        _, server, per_s = min(limited, key=lambda row: row[0])
        return await self._wait_for_grant(server, route, latest, per_s)

    async def _wait_for_grant(
        self,
        server: servers.BackendServer,
        route: routes.Route,
        latest: float,
        per_s: float,
    ) -> Chosen | Full:
        """Waits for a call that is booked at a server, if there is one."""
        interval_s = 1.0 / max(per_s, server_limits.MIN_PER_S)
        max_wait_s = min(
            latest - self._clock.now(),
            max(_WAIT_RATIO * route.target_s, interval_s),
        )
        grant = await self._acquire(server, route.rank, max(0.0, max_wait_s))
        if isinstance(grant, grants_lib.Grant):
            return Chosen(server, grant)
        return Full(grant.turn_at, server, per_s, grant.answered)

    async def _acquire(
        self, server: servers.BackendServer, rank: int, max_wait_s: float
    ) -> grants_lib.Grant | grants_lib.Denied:
        grant = await self._grants.acquire(server, rank, max_wait_s)
        if not isinstance(grant, grants_lib.Grant):
            # The limit can rise before the time that the lease holder gave.
            ask_at = min(grant.free_at, self._clock.now() + _MAX_FULL_S)
            self._eligibility.record_full(server, ask_at)
        return grant

    def decide_wait(
        self, full: Full, latest: float, deadline: float
    ) -> wait_policy.Wait | errors.Refusal:
        """Decides on a request whose servers' limits are all used up."""
        limit = (
            f"The limit of server {full.server.server_id}, {full.per_s:g} "
            "calls a second,"
        )
        detail = f"{limit} leaves no room in time."
        if not full.answered:
            detail = f"{limit} is granted by no node now."
        decision = wait_policy.decide_limit_wait(
            self._clock.now(),
            full.turn_at,
            full.answered,
            latest,
            deadline,
            detail,
        )
        self._counters.count(
            "limits.refused"
            if isinstance(decision, errors.Refusal)
            else "limits.waited"
        )
        return decision
