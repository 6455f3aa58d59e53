"""Exponential backoff."""

# 2**30 exceeds any pause.  Without a limit, the power overflows after about a
# thousand failures, a number that an outage of hours reaches.
_MAX_DOUBLINGS = 30


def pause_s(base_s: float, max_s: float, failures: int) -> float:
    """Returns the longest pause after consecutive failures.

    The caller adds jitter by drawing the actual pause below this value.

    Args:
      base_s: pause before any doubling, in seconds.
      max_s: upper limit of the pause, in seconds.
      failures: number of doublings; 0 gives the base.
    """
    return min(max_s, base_s * 2.0 ** min(failures, _MAX_DOUBLINGS))
