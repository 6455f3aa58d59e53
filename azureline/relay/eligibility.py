"""Decides whether this node may send requests to a backend server now.

A server can announce that it leaves, which holds for all nodes until it stops,
ask one node for a pause, or name a limit for all nodes together.  For a while
after a pause requests go through one by one, because the waiting requests would
otherwise arrive all at once.
"""

import enum
import math
from typing import NamedTuple

from azureline.relay import server_limits
from azureline.relay import servers

# Upper limit of a pause; no caller waits this long.
MAX_PAUSE_S = 300.0
# Time after a pause in which requests go one by one, and their interval.
_RAMP_S = 1.0
_RAMP_INTERVAL_S = 0.05


class Reason(enum.Enum):
    """Why this node sends a server no requests."""

    LEAVING = "leaving"
    PAUSED = "paused"
    RESUMING = "resuming"


class Open(NamedTuple):
    """The server may be sent a request."""


class Limited(NamedTuple):
    """The server may be sent a request that has a grant.

    Attributes:
      per_s: calls a second that the server takes from all nodes together.
      free_at: monotonic time in seconds before which no grant is expected.
    """

    per_s: float
    free_at: float


class Closed(NamedTuple):
    """The server must not be sent a request.

    Attributes:
      reason: why.
      until: monotonic time in seconds at which to check again; infinite if
        the server leaves.
    """

    reason: Reason
    until: float


class _Pause(NamedTuple):
    ends_at: float
    next_at: float


class Eligibility:
    """Pauses, departures and limits of servers, as this node knows them."""

    def __init__(self, catalogue: servers.Catalogue):
        """Creates the state without pauses.

        Args:
          catalogue: the backend servers, with those that leave.
        """
        self._catalogue = catalogue
        self._pauses: dict[tuple[str, int], _Pause] = {}
        self._free_at: dict[tuple[str, int], float] = {}
        self._limits = server_limits.ServerLimits()

    @property
    def limits(self) -> server_limits.ServerLimits:
        """The limits that servers name."""
        return self._limits

    def check(
        self, server: servers.BackendServer, now: float
    ) -> Open | Limited | Closed:
        """Returns whether a request may be sent to a server.

        Args:
          server: the server.
          now: monotonic time in seconds.
        """
        if self._catalogue.is_leaving(server):
            return Closed(Reason.LEAVING, math.inf)
        pause = self._pauses.get(server.incarnation)
        if pause is not None and now < pause.ends_at:
            return Closed(Reason.PAUSED, pause.ends_at)
        if pause is not None and now < min(
            pause.next_at, pause.ends_at + _RAMP_S
        ):
            return Closed(Reason.RESUMING, pause.next_at)
        limit = self._limits.get(server.incarnation)
        if limit is not None:
            free_at = self._free_at.get(server.incarnation, now)
            return Limited(limit.per_s, free_at)
        return Open()

    def record_full(
        self, server: servers.BackendServer, free_at: float
    ) -> None:
        """Records that a server's limit is used up until a monotonic time."""
        self._free_at[server.incarnation] = free_at

    def paused_until(
        self, server: servers.BackendServer, now: float
    ) -> float | None:
        """Returns when a server's pause ends, or None without one."""
        pause = self._pauses.get(server.incarnation)
        if pause is None or now >= pause.ends_at:
            return None
        return pause.ends_at

    def pause(
        self, server: servers.BackendServer, seconds: float, now: float
    ) -> float:
        """Pauses a server; a pause that ends before a known one is ignored.

        Args:
          server: the server.
          seconds: length of the pause; at most `MAX_PAUSE_S` count.
          now: monotonic time in seconds.

        Returns:
          When the pause ends, in monotonic seconds.
        """
        ends_at = now + min(seconds, MAX_PAUSE_S)
        current = self._pauses.get(server.incarnation)
        if current is not None and current.ends_at >= ends_at:
            return current.ends_at
        self._pauses[server.incarnation] = _Pause(ends_at, ends_at)
        return ends_at

    def record_sent(self, server: servers.BackendServer, now: float) -> None:
        """Records that a request is sent to a server."""
        pause = self._pauses.get(server.incarnation)
        if pause is not None and now >= pause.ends_at:
            self._pauses[server.incarnation] = pause._replace(
                next_at=now + _RAMP_INTERVAL_S
            )

    def expire(self, now: float) -> None:
        """Removes expired pauses and limits."""
        born_ms = {s.server_id: s.born_ms for s in self._catalogue}
        self._limits.expire(born_ms, now)
        self._free_at = {i: t for i, t in self._free_at.items() if t > now}
        for incarnation, pause in list(self._pauses.items()):
            if now >= pause.ends_at + _RAMP_S:
                del self._pauses[incarnation]
