"""Pauses that grow with the number of failures in a row."""

# Two to this power is longer than any pause; a power without a bound overflows
# after a thousand failures, which an outage of hours reaches.
_MOST_DOUBLINGS = 30


def pause_s(base_s: float, most_s: float, failures: int) -> float:
    """Returns the longest pause after failures in a row.

    Callers add jitter: they draw the actual pause from below it.

    Args:
      base_s: seconds before any doubling.
      most_s: bound in seconds.
      failures: how often the pause has doubled; 0 gives the base.
    """
    return min(most_s, base_s * 2.0 ** min(failures, _MOST_DOUBLINGS))
