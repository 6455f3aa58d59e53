"""Circuit breakers for backend servers that fail.

A breaker opens after some failures in a row, stays open for a jittered time
that doubles with each failed probe, and is then half-open: it lets one probe
through at a time until enough of them have succeeded.
"""

import dataclasses
import random
from typing import NamedTuple

from azureline.util import backoff


class Settings(NamedTuple):
    """Settings of breakers.

    Attributes:
      failures: failures in a row that open a breaker.
      open_s: scale of the first open period in seconds.
      open_cap_s: largest scale of an open period in seconds.
      successes: successes in a row that close a half-open breaker.
      probe_timeout_s: seconds after which a probe without a result is
        forgotten and another one allowed.
    """

    failures: int = 5
    open_s: float = 1.0
    open_cap_s: float = 30.0
    successes: int = 2
    probe_timeout_s: float = 10.0


DEFAULTS = Settings()


@dataclasses.dataclass
class _Closed:
    """Requests pass; counts the failures in a row."""

    failures: int = 0


@dataclasses.dataclass
class _Open:
    """Nothing passes before a time; after it, one probe at a time."""

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

    def permits(self, now: float, server: str) -> bool:
        """Returns whether a request may be sent to the server."""
        match self._states.get(server):
            case _Open(until=until, probe_until=probe_until):
                probing = probe_until is not None and now < probe_until
                return now >= until and not probing
            case _:
                return True

    def started(self, now: float, server: str) -> None:
        """Counts a request that is sent; in a half-open breaker, the probe."""
        match self._states.get(server):
            case _Open() as state:
                state.probe_until = now + self._settings.probe_timeout_s
            case _:
                pass

    def succeeded(self, now: float, server: str) -> None:
        """Counts an answer that shows the server to work.

        Answers to requests that were sent before the breaker opened arrive
        while it is open; they say nothing new and are passed over.
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
        """Frees the probe of a request that ended without a verdict."""
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
        scale = backoff.pause_s(
            self._settings.open_s, self._settings.open_cap_s, periods
        )
        # At least half of the scale, so that a server that has just failed
        # is not probed at once; the rest spreads the probes of the nodes.
        period = scale * self._rng.uniform(0.5, 1.0)
        self._states[server] = _Open(until=now + period, periods=periods)
