"""Circuit breakers for backend servers that fail.

A breaker opens after a number of consecutive failures and stays open for a
jittered time that doubles with each failed probe.  Then it is half-open: it
permits one probe at a time until enough probes have succeeded.
"""

import dataclasses
import random
from typing import NamedTuple

from azureline.util import backoff


class Settings(NamedTuple):
    """Settings of breakers.

    Attributes:
      failures: number of consecutive failures that open a breaker.
      open_s: upper bound of the first open period in seconds, before jitter.
      open_cap_s: largest upper bound of an open period in seconds.
      successes: number of consecutive successes that close a half-open
        breaker.
      probe_timeout_s: seconds after which a probe without a result no longer
        blocks another one.
    """

    failures: int = 5
    open_s: float = 1.0
    open_cap_s: float = 30.0
    successes: int = 2
    probe_timeout_s: float = 10.0


DEFAULTS = Settings()


@dataclasses.dataclass
class _Closed:
    """Permits all requests and counts consecutive failures."""

    failures: int = 0


@dataclasses.dataclass
class _Open:
    """Open until a time, then half-open with one probe at a time.

    Attributes:
      until: monotonic time in seconds at which the breaker is half-open.
      periods: number of earlier open periods in a row.
      successes: number of consecutive probes that succeeded.
      probe_until: monotonic time in seconds at which the current probe times
        out, or None.
    """

    until: float
    periods: int
    successes: int = 0
    probe_until: float | None = None


class Breakers:
    """A breaker for each backend server, by name."""

    def __init__(self, rng: random.Random, settings: Settings = DEFAULTS):
        """Creates breakers, all closed.

        Args:
          rng: source of the jitter.
          settings: the settings.
        """
        self._rng = rng
        self._settings = settings
        self._states: dict[str, _Closed | _Open] = {}

    def is_permitted(self, now: float, server: str) -> bool:
        """Returns whether a request may be sent to the server."""
        match self._states.get(server):
            case _Open(until=until, probe_until=probe_until):
                probing = probe_until is not None and now < probe_until
                return now >= until and not probing
            case _:
                return True

    def started(self, now: float, server: str) -> None:
        """Counts a sent request, which a half-open breaker takes as a probe."""
        match self._states.get(server):
            case _Open() as state:
                state.probe_until = now + self._settings.probe_timeout_s
            case _:
                pass

    def succeeded(self, now: float, server: str) -> None:
        """Counts an answer that proves that the server works.

        Answers that arrive while the breaker is open belong to requests that
        were sent before it opened, and are ignored.
        """
        match self._states.get(server):
            case _Closed() as state:
                state.failures = 0
            case _Open(until=until) as state if now >= until:
                self._probe_succeeded(server, state)
            case _:
                pass

    def failed(self, now: float, server: str) -> bool:
        """Counts a failure.

        Returns:
          Whether this failure opened the breaker.
        """
        match self._states.setdefault(server, _Closed()):
            case _Closed() as state:
                state.failures += 1
                if state.failures < self._settings.failures:
                    return False
                self._open(now, server, 0)
                return True
            case _Open(until=until, periods=periods) if now >= until:
                self._open(now, server, periods + 1)
                return True
            case _:
                return False

    def cancelled(self, server: str) -> None:
        """Permits another probe after one that ended without a result."""
        match self._states.get(server):
            case _Open() as state:
                state.probe_until = None
            case _:
                pass

    def retry_after(self, now: float, server: str) -> float:
        """Returns the seconds until the server may be tried again."""
        match self._states.get(server):
            case _Open(until=until, probe_until=probe_until):
                return max(0.0, until - now, (probe_until or now) - now)
            case _:
                return 0.0

    def _probe_succeeded(self, server: str, state: _Open) -> None:
        state.probe_until = None
        state.successes += 1
        if state.successes >= self._settings.successes:
            del self._states[server]

    def _open(self, now: float, server: str, periods: int) -> None:
        bound_s = backoff.pause_s(
            self._settings.open_s, self._settings.open_cap_s, periods
        )
        # The period_s is at least half of the bound, so that a server that has
        # just failed is not probed at once.  The random half spreads the
        # probes of different nodes.
        period_s = bound_s * self._rng.uniform(0.5, 1.0)
        self._states[server] = _Open(until=now + period_s, periods=periods)
