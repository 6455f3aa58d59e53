"""What requests take of engines, learnt from those that were answered."""

import collections
from typing import NamedTuple

from azureline.relay import capacity
from azureline.relay import requests
from azureline.relay import routes

# Weight of the newest answer in an average.
_NEWEST = 0.1
# Reading takes this many times as long as at the nominal rate.
_USUAL_PACE = 1.2
# Routes that a node remembers.
_MOST_ROUTES = 4096


# Part of its longest pause that a stream has left at least for prompts.
_LEAST_SLACK = 0.1


class _Seen(NamedTuple):
    """Averages over a route's requests.

    Attributes:
      run_s: seconds from the send to the end.
      spacing_s: seconds between two parts of an answer.
      reading_s: seconds to read what an engine did not keep of a prompt, at
        the nominal rate; 0 if no engine's holder told.
    """

    run_s: float
    spacing_s: float
    reading_s: float


class RunTimes:
    """Seconds that requests of each route run, as one node sees it."""

    def __init__(self, read_tokens_per_s: float):
        """Creates averages over nothing.

        Args:
          read_tokens_per_s: tokens of prompts that an engine reads a second.
        """
        self._read_tokens_per_s = read_tokens_per_s
        self._seen: collections.OrderedDict[str, _Seen] = (
            collections.OrderedDict()
        )

    def note(
        self, route: str, run_s: float, parts: int, reading_s: float
    ) -> None:
        """Learns from a request that was answered whole.

        Args:
          route: its route.
          run_s: seconds from its send to its end.
          parts: parts in which its answer came.
          reading_s: seconds of its prompt that its engine had to read, at the
            nominal rate; 0 if its engine's holder was not asked.
        """
        seen = _Seen(run_s, run_s / max(1, parts), reading_s)
        known = self._seen.get(route, seen)
        if reading_s <= 0.0 or known.reading_s <= 0.0:
            # Nothing was told of one of them.
            most_s = max(reading_s, known.reading_s)
            seen = seen._replace(reading_s=most_s)
            known = known._replace(reading_s=most_s)
        self._seen[route] = _Seen(
            *(
                old + (new - old) * _NEWEST
                for old, new in zip(known, seen, strict=True)
            )
        )
        self._seen.move_to_end(route)
        if len(self._seen) > _MOST_ROUTES:
            self._seen.popitem(last=False)

    def work(
        self, route: routes.Route, request: requests.CallerRequest
    ) -> capacity.Work:
        """Returns what a request should take of its engine, in seconds.

        Where nothing was told of the route's prompts, the parts that others
        share are taken to be read.
        """
        seen = self._seen.get(route.name)
        if seen is not None and seen.reading_s > 0.0:
            reading_s = seen.reading_s * _USUAL_PACE
        else:
            shared = sum(part.tokens for part in request.shared_parts)
            tokens = max(0, request.prompt_tokens - shared)
            reading_s = tokens / self._read_tokens_per_s * _USUAL_PACE
        run_s = seen.run_s if seen else route.target_s
        return capacity.Work(
            reading_s, run_s, run_s if request.adapter else 0.0
        )

    def aims(self, route: routes.Route) -> capacity.Aims:
        """Returns what the callers of a route put up with."""
        seen = self._seen.get(route.name)
        gap_s = route.gap_s
        if gap_s > 0.0 and seen is not None:
            gap_s = max(_LEAST_SLACK * gap_s, gap_s - seen.spacing_s)
        return capacity.Aims(route.target_s, gap_s, route.patience_s)
