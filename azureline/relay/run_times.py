"""Estimates the load of requests on engines from earlier requests."""

import collections
from typing import NamedTuple

from azureline.relay import capacity
from azureline.relay import requests
from azureline.relay import routes

# Weight of the newest answer in the exponential averages.
_NEWEST_WEIGHT = 0.1
# Reading time of prompts relative to the nominal rate.
_READING_RATIO = 1.2
# Upper limit of routes in memory.
_MAX_ROUTES = 4096


# Part of a stream's longest allowed pause that always remains for reading
# prompts.
_MIN_GAP_RATIO = 0.1


class _Averages(NamedTuple):
    """Averages over a route's requests.

    Attributes:
      run_s: seconds from the send to the end of the answer.
      spacing_s: seconds between two parts of an answer.
      reading_s: seconds to read the uncached part of a prompt at the nominal
        rate; 0 if no lease holder reported it.
    """

    run_s: float
    spacing_s: float
    reading_s: float


class RunTimes:
    """Average running times of each route's requests, measured by one node."""

    def __init__(self, read_tokens_per_s: float):
        """Creates averages without data.

        Args:
          read_tokens_per_s: nominal rate at which an engine reads prompts.
        """
        self._read_tokens_per_s = read_tokens_per_s
        self._averages: collections.OrderedDict[str, _Averages] = (
            collections.OrderedDict()
        )

    def record(
        self, route: str, run_s: float, parts: int, reading_s: float
    ) -> None:
        """Updates the averages of a route after a complete answer.

        Args:
          route: name of the route.
          run_s: seconds from the send to the end of the answer.
          parts: number of parts in which the answer arrived.
          reading_s: seconds to read the uncached part of the prompt at the
            nominal rate; 0 without a reservation request.
        """
        newest = _Averages(run_s, run_s / max(1, parts), reading_s)
        average = self._averages.get(route, newest)
        if reading_s <= 0.0 or average.reading_s <= 0.0:
            # One of them is unknown, so the other replaces it.
            known_s = max(reading_s, average.reading_s)
            newest = newest._replace(reading_s=known_s)
            average = average._replace(reading_s=known_s)
        self._averages[route] = _Averages(
            *(
                old + (new - old) * _NEWEST_WEIGHT
                for old, new in zip(average, newest, strict=True)
            )
        )
        self._averages.move_to_end(route)
        if len(self._averages) > _MAX_ROUTES:
            self._averages.popitem(last=False)

    def average_s(self, route: str) -> float | None:
        """Returns a route's average running time in seconds, if it is known."""
        average = self._averages.get(route)
        return average.run_s if average else None

    def expected_load(
        self, route: routes.Route, request: requests.CallerRequest
    ) -> capacity.RequestLoad:
        """Returns the expected load of a request on its engine, in seconds.

        While no lease holder has reported the uncached part of the route's
        prompts, the parts that requests share are assumed to be cached.
        """
        average = self._averages.get(route.name)
        if average is not None and average.reading_s > 0.0:
            reading_s = average.reading_s * _READING_RATIO
        else:
            shared_tokens = sum(part.tokens for part in request.shared_parts)
            tokens = max(0, request.prompt_tokens - shared_tokens)
            reading_s = tokens / self._read_tokens_per_s * _READING_RATIO
        run_s = average.run_s if average else route.target_s
        return capacity.RequestLoad(
            reading_s, run_s, run_s if request.adapter else 0.0
        )

    def latency_targets(self, route: routes.Route) -> capacity.LatencyTargets:
        """Returns the latency targets of a route's callers.

        The allowed pause of a stream is reduced by its usual distance between
        events.
        """
        average = self._averages.get(route.name)
        gap_s = route.gap_s
        if gap_s > 0.0 and average is not None:
            gap_s = max(_MIN_GAP_RATIO * gap_s, gap_s - average.spacing_s)
        return capacity.LatencyTargets(route.target_s, gap_s, route.patience_s)
