"""Circuit breakers for backend servers that fail."""

import random
from typing import NamedTuple


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


class Breakers:
    """A breaker for each backend server, by name."""

    def __init__(self, rng: random.Random, settings: Settings = DEFAULTS):
        raise NotImplementedError

    def permits(self, now: float, server: str) -> bool:
        """Returns whether a request may be sent to the server."""
        raise NotImplementedError

    def started(self, now: float, server: str) -> None:
        """Counts a request that is sent; in a half-open breaker, the probe."""
        raise NotImplementedError

    def succeeded(self, now: float, server: str) -> None:
        """Counts an answer that shows the server to work."""
        raise NotImplementedError

    def failed(self, now: float, server: str) -> bool:
        """Counts a failure.

        Returns:
          Whether this failure opened the breaker.
        """
        raise NotImplementedError

    def retry_after(self, now: float, server: str) -> float:
        """Returns the seconds until the server may be tried again."""
        raise NotImplementedError
