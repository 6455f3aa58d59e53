"""How often a lease holder asks its engine for a report."""

from azureline.relay import server_limits

# Minimum interval, since each report costs a probe of the engine.
_MIN_INTERVAL_S = 0.4
# Reports are also requested periodically, for the load figures that nodes use
# for routing.
_LOADED_INTERVAL_S = 0.9
_IDLE_INTERVAL_S = 2.5
# Reports take this part of the calls that an engine's limit allows ...
_LIMIT_SHARE = 0.1
# ... or this one while the engine holds no model, so that it serves nobody and
# only reports show that it can be loaded and that the limit has ended ...
_EMPTY_LIMIT_SHARE = 0.5
# ... but are requested at this interval at least.
_MAX_INTERVAL_S = 15.0


def interval_s(request_count: int) -> float:
    """Returns the seconds after which a report is due.

    Args:
      request_count: requests running or queued at the engine.
    """
    return _LOADED_INTERVAL_S if request_count > 1 else _IDLE_INTERVAL_S


def min_interval_s(
    limit: server_limits.Limit | None, has_models: bool
) -> float:
    """Returns the minimum seconds from one report to the next.

    Args:
      limit: the limit that the engine names, or None.
      has_models: whether the engine holds a model.
    """
    if limit is None:
        return _MIN_INTERVAL_S
    share = _LIMIT_SHARE if has_models else _EMPTY_LIMIT_SHARE
    per_s = max(limit.per_s, server_limits.MIN_PER_S) * share
    return min(max(_MIN_INTERVAL_S, 1.0 / per_s), _MAX_INTERVAL_S)
