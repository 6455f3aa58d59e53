"""Counters and timers of one node.

Counts are kept for the operators' status and sent by statsd as they happen.
"""

import collections
from typing import Any

import statsd


class Counters:
    """Counts events by name and may send them to a statsd server."""

    def __init__(self, sender: Any = None):
        """Creates the counters.

        Args:
          sender: an object with `incr` and `timing` like
            `statsd.StatsClient`, or None to send nothing.
        """
        self._sender = sender
        self._counts: collections.Counter[str] = collections.Counter()

    def count(self, name: str, by: int = 1) -> None:
        """Adds to a counter."""
        self._counts[name] += by
        if self._sender is not None:
            self._sender.incr(name, by)

    def timing(self, name: str, seconds: float) -> None:
        """Sends a duration."""
        if self._sender is not None:
            self._sender.timing(name, seconds * 1000.0)

    def value(self, name: str) -> int:
        """Returns the count of one name."""
        return self._counts[name]

    def with_prefix(self, prefix: str) -> dict[str, int]:
        """Returns the counts whose names start with `prefix`, without it."""
        return {
            name.removeprefix(prefix): n
            for name, n in sorted(self._counts.items())
            if name.startswith(prefix)
        }


def connect(host: str, port: int, prefix: str) -> Counters:
    """Returns counters that send to a statsd server by UDP.

    Args:
      host: IP address of the server, or "" to send nothing.
      port: its UDP port.
      prefix: prepended to each name.
    """
    if not host:
        return Counters()
    return Counters(statsd.StatsClient(host, port, prefix=prefix))
