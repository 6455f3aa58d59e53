"""Decides which requests a node that stops still takes.

A request that is still running at the end of the grace period is cut off, so a
node that stops takes only requests that will have ended by then.
"""

from azureline.relay import routes

# A request may take this many times the average of its route.
_RUN_RATIO = 2.0
# Time for the queue at the server and for the answer to reach the caller.
_MARGIN_S = 0.3


def ends_in_time(
    route: routes.Route,
    patience_s: float | None,
    average_s: float | None,
    left_s: float,
) -> bool:
    """Returns whether a request will have ended before the process stops.

    Args:
      route: the request's route.
      patience_s: seconds that the caller waits at most; None if unknown.
      average_s: average running time of the route in seconds; None if unknown.
      left_s: seconds until the process cuts off what still runs.
    """
    limit_s = route.timeout_s
    if patience_s is not None:
        limit_s = min(limit_s, patience_s)
    if limit_s + _MARGIN_S <= left_s:
        return True
    if not route.repeatable:
        return False
    run_s = route.target_s if average_s is None else average_s
    return _RUN_RATIO * run_s + _MARGIN_S <= left_s
