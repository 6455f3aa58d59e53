"""Schedules events at a rate, some of them ahead of time.

The generic cell rate algorithm (ITU-T I.371, 1993) in its virtual scheduling
form: one number says when the next event conforms to the rate, so a schedule
needs no queue and no timer.
"""


class RateSchedule:
    """Events at a rate with a burst; a caller can book a later event."""

    def __init__(self, per_s: float, burst: float, now: float):
        """Creates a schedule without events.

        Args:
          per_s: events per second; positive.
          burst: events that may come at once after a pause; at least 1.
          now: monotonic time in seconds.
        """
        self._per_s = per_s
        self._burst = burst
        # Time at which no event counts against the burst any more.
        self._clear_at = now

    @property
    def per_s(self) -> float:
        """Events per second."""
        return self._per_s

    def set_rate(self, per_s: float, now: float) -> None:
        """Changes the rate; past and booked events are spaced anew."""
        backlog = max(0.0, self._clear_at - now) * self._per_s
        self._clear_at = now + backlog / per_s
        self._per_s = per_s

    def wait_s(self, now: float) -> float:
        """Returns the seconds until the next event that is not booked."""
        tolerance_s = (self._burst - 1.0) / self._per_s
        return max(0.0, self._clear_at - tolerance_s - now)

    def book(self, now: float, max_wait_s: float) -> float | None:
        """Books the next event.

        Args:
          now: monotonic time in seconds.
          max_wait_s: longest time in seconds until the event.

        Returns:
          The seconds until the event, or None if it would come too late.
        """
        wait_s = self.wait_s(now)
        if wait_s > max_wait_s:
            return None
        self.charge(now)
        return wait_s

    def charge(self, now: float) -> None:
        """Counts an event that happens now, whether or not it conforms."""
        self._clear_at = max(self._clear_at, now) + 1.0 / self._per_s
