"""Calls that backend servers run, or may still run."""

from typing import NamedTuple

from azureline import requests

# Time after the end of an attempt in which a crash of its server accuses a call
# that the server may still have run.
UNFINISHED_S = 15.0
# Maximum number of such calls of one server; the oldest are dropped.
_MAX_UNFINISHED = 240


class _Unfinished(NamedTuple):
    """A call that its server may still run, and when its attempt ended."""

    call: requests.ModelCall
    wall: float


class ServerCalls:
    """One node's calls, by backend server."""

    def __init__(self):
        """Creates an instance without calls."""
        self._in_flight: dict[str, dict[str, requests.ModelCall]] = {}
        self._unfinished: dict[str, dict[str, _Unfinished]] = {}

    def started(self, server: str, call: requests.ModelCall) -> None:
        """Counts a call as in flight at a server."""
        self._in_flight.setdefault(server, {})[call.request_id] = call

    def finished(
        self, wall: float, server: str, call: requests.ModelCall, may_run: bool
    ) -> None:
        """Ends a call in flight.

        Args:
          wall: Unix time in seconds.
          server: name of the server.
          call: the call.
          may_run: whether the server may still run it.
        """
        known = self._in_flight.get(server, {}).pop(call.request_id, None)
        if known is None or not may_run:
            return
        unfinished = self._unfinished.setdefault(server, {})
        unfinished[call.request_id] = _Unfinished(call, wall)
        if len(unfinished) > _MAX_UNFINISHED:
            del unfinished[next(iter(unfinished))]

    def take_in_flight(self, server: str) -> tuple[requests.ModelCall, ...]:
        """Removes and returns the calls in flight at a server."""
        return tuple(self._in_flight.pop(server, {}).values())

    def take_unfinished(
        self, wall: float, server: str
    ) -> tuple[requests.ModelCall, ...]:
        """Removes and returns the calls that a server may still run."""
        return tuple(
            one.call
            for one in self._unfinished.pop(server, {}).values()
            if one.wall >= wall - UNFINISHED_S
        )

    def expire(self, wall: float) -> None:
        """Discards calls whose attempts ended long ago."""
        for server, unfinished in list(self._unfinished.items()):
            kept = {
                request_id: one
                for request_id, one in unfinished.items()
                if one.wall >= wall - UNFINISHED_S
            }
            self._unfinished[server] = kept
            if not kept:
                del self._unfinished[server]
