"""Token bucket for amounts of any size."""


class TokenBucket:
    """Holds tokens that come at a rate, up to a burst.

    An amount above the burst is taken from a full bucket, whose level is then
    negative, so that such a request is delayed but not refused forever.
    """

    def __init__(
        self, rate_per_s: float, burst: float, now: float, level: float = 0.0
    ):
        """Creates a bucket.

        Args:
          rate_per_s: tokens that come per second; positive.
          burst: largest number of tokens that it holds.
          now: monotonic time in seconds.
          level: tokens that it holds at first.
        """
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = min(level, burst)
        self._updated_at = now

    @property
    def burst(self) -> float:
        """Largest number of tokens that the bucket holds."""
        return self._burst

    def set_quota(self, rate_per_s: float, burst: float, now: float) -> None:
        """Changes the rate and the burst; tokens above the burst are lost."""
        self._refill(now)
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = min(self._level, burst)

    def level(self, now: float) -> float:
        """Returns the number of tokens in the bucket."""
        self._refill(now)
        return self._level

    def take(self, amount: float, now: float) -> bool:
        """Takes an amount if the bucket holds it; returns whether it did."""
        self._refill(now)
        if self._level < min(amount, self._burst):
            return False
        self._level -= amount
        return True

    def put_back(self, amount: float, now: float) -> None:
        """Returns an amount that was taken and not used."""
        self._refill(now)
        self._level = min(self._level + amount, self._burst)

    def wait_s(self, amount: float, now: float) -> float:
        """Returns the seconds until the bucket can hold an amount."""
        self._refill(now)
        missing = min(amount, self._burst) - self._level
        return max(0.0, missing / self._rate_per_s)

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = max(self._updated_at, now)
        self._level = min(
            self._level + elapsed_s * self._rate_per_s, self._burst
        )
