"""Counters and timers of one node.

Counts are kept in memory for the operators' status document.  Counts and timers
are also sent to a statsd server, if there is one.
"""

import collections
from typing import Any

import statsd


class Counters:
    """Counts events by name and optionally sends them to a statsd server."""

    def __init__(self, sender: Any = None):
        """Creates the counters.

        Args:
          sender: a `statsd.StatsClient` or an object with its methods `incr`
            and `timing`; None sends nothing.
        """
        self._sender = sender
        self._counts: collections.Counter[str] = collections.Counter()

    def count(self, name: str, by: int = 1) -> None:
        """Adds `by` to a counter."""
        self._counts[name] += by
        if self._sender is not None:
            self._sender.incr(name, by)

    def timing(self, name: str, seconds: float) -> None:
        """Sends a duration; statsd takes it in milliseconds."""
        if self._sender is not None:
            self._sender.timing(name, seconds * 1000.0)

    def get(self, name: str) -> int:
        """Returns the value of one counter."""
        return self._counts[name]

    def with_prefix(self, prefix: str) -> dict[str, int]:
        """Returns the counters whose names start with `prefix`.

        The keys are the names without the prefix, in sorted order.
        """
        return {
            name.removeprefix(prefix): n
            for name, n in sorted(self._counts.items())
            if name.startswith(prefix)
        }


def make_counters(host: str, port: int, prefix: str) -> Counters:
    """Returns counters that send to a statsd server over UDP.

    Args:
      host: IP address of the statsd server, or "" to send nothing.
      port: UDP port of the statsd server.
      prefix: prefix of each name that is sent.
    """
    if not host:
        return Counters()
    return Counters(statsd.StatsClient(host, port, prefix=prefix))
