"""Whether this node may send to a backend server now; if not, why and how long.

A server may say that it leaves, which holds for all nodes until its end, or ask
one node for a pause.  After a pause requests go through one by one for a while,
as those that waited would else arrive all at once.
"""

import enum
import math
from typing import NamedTuple

from azureline.relay import servers

# Longer pauses are cut to this; no caller stays so long.
MAX_PAUSE_S = 300.0
# After a pause, and between two requests in this time.
_RAMP_S = 1.0
_RAMP_GAP_S = 0.05


class Reason(enum.Enum):
    """Why a server gets no request of this node."""

    LEAVING = "leaving"
    PAUSED = "paused"
    RESUMING = "resuming"


class Open(NamedTuple):
    """The server may be sent a request."""


class Shut(NamedTuple):
    """The server must not be sent a request.

    Attributes:
      reason: why.
      until: monotonic time in seconds at which to ask again; infinite if it
        gets no more requests.
    """

    reason: Reason
    until: float


class _Pause(NamedTuple):
    ends_at: float
    next_at: float


class Eligibility:
    """What this node knows of servers that want no requests."""

    def __init__(self, catalogue: servers.Catalogue):
        """Creates a view without pauses.

        Args:
          catalogue: tells which servers are leaving.
        """
        self._catalogue = catalogue
        self._pauses: dict[tuple[str, int], _Pause] = {}

    def check(self, server: servers.BackendServer, now: float) -> Open | Shut:
        """Returns whether a request may be sent to a server.

        Args:
          server: the server.
          now: monotonic time in seconds.
        """
        if self._catalogue.is_leaving(server):
            return Shut(Reason.LEAVING, math.inf)
        pause = self._pauses.get(server.incarnation)
        if pause is None or now >= pause.ends_at + _RAMP_S:
            return Open()
        if now < pause.ends_at:
            return Shut(Reason.PAUSED, pause.ends_at)
        if now < pause.next_at:
            return Shut(Reason.RESUMING, pause.next_at)
        return Open()

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
        """Takes a server's wish for a pause; a shorter one changes nothing.

        Returns:
          When the pause ends, in monotonic seconds.
        """
        ends_at = now + min(seconds, MAX_PAUSE_S)
        known = self._pauses.get(server.incarnation)
        if known is not None and known.ends_at >= ends_at:
            return known.ends_at
        self._pauses[server.incarnation] = _Pause(ends_at, ends_at)
        return ends_at

    def sent(self, server: servers.BackendServer, now: float) -> None:
        """Learns that a request is sent to a server."""
        pause = self._pauses.get(server.incarnation)
        if pause is not None and now >= pause.ends_at:
            self._pauses[server.incarnation] = pause._replace(
                next_at=now + _RAMP_GAP_S
            )

    def expire(self, now: float) -> None:
        """Forgets pauses that are over."""
        for incarnation, pause in list(self._pauses.items()):
            if now >= pause.ends_at + _RAMP_S:
                del self._pauses[incarnation]
