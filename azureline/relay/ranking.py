"""Ranks the backend servers that could serve a request.

Requests that share the beginning of their prompts go to the same engine, by
rendezvous hashing (Thaler and Ravishankar, 1998) with a bound on the load, so
nodes need not exchange data about prompts.
"""

from collections.abc import Callable
from collections.abc import Sequence
import hashlib
from typing import NamedTuple

from azureline.relay import requests
from azureline.relay import servers

# An engine counts as overloaded above this many times the mean load ...
_MAX_RELATIVE_LOAD = 1.25
# ... plus this many requests.
_EXTRA_REQUESTS = 1.5
# Streams pause while their engine reads prompts, so short prompts avoid an
# engine that spends more than this part of its time reading ...
_MAX_READING_RATIO = 0.5
# ... and exceeds the mean over the engines by more than this.
_READING_RATIO_MARGIN = 0.1
# Extra requests counted for a server in another failure domain, because traffic
# between domains costs money and time.
_OTHER_DOMAIN_LOAD = 0.35


class Candidate(NamedTuple):
    """A server that could serve a request.

    Attributes:
      server: the server.
      load: number of requests at it, as far as this node knows.
      penalty: factor on its load for recent failures; 1 without any.
      other_domain: whether it is in another failure domain.
      ready: whether it can serve the request without loading an adapter.
      busy: whether it cannot load anything now.
      reading_ratio: part of its time that it spends reading prompts, 0 to 1.
    """

    server: servers.BackendServer
    load: float
    penalty: float
    other_domain: bool
    ready: bool = True
    busy: bool = False
    reading_ratio: float = 0.0


def rank_by_affinity(
    candidates: Sequence[Candidate], affinity: str, near_first: bool = True
) -> list[Candidate]:
    """Returns the engines in the order in which to try them.

    Args:
      candidates: engines that can serve the request.
      affinity: key that requests with a common beginning of prompts share.
      near_first: whether engines of this failure domain come first; if not,
        requests with the same key prefer the same engine in all domains.
    """
    if not candidates:
        return []
    mean_load = sum(c.load for c in candidates) / len(candidates)
    max_load = _MAX_RELATIVE_LOAD * mean_load + _EXTRA_REQUESTS
    mean_reading = sum(c.reading_ratio for c in candidates) / len(candidates)
    max_reading = max(_MAX_READING_RATIO, mean_reading + _READING_RATIO_MARGIN)

    def key(c: Candidate) -> tuple[bool, bool, bool, float]:
        overloaded = c.load * c.penalty > max_load or c.penalty > 3.0
        # Long prompts ignore this bound: the engine's lease holder, which knows
        # the exact queue, decides on them.
        overloaded = overloaded or (
            near_first and c.reading_ratio > max_reading
        )
        stuck = c.busy and not c.ready
        other_domain = near_first and c.other_domain
        return (
            stuck,
            overloaded,
            other_domain,
            -rendezvous_hash(affinity, c.server.server_id),
        )

    return sorted(candidates, key=key)


def rank_by_load(
    candidates: Sequence[Candidate], tie: Callable[[], float]
) -> list[Candidate]:
    """Returns plain servers, the least loaded first.

    Args:
      candidates: servers that can serve the request.
      tie: source of numbers between 0 and 1 that order equal servers.
    """

    def key(c: Candidate) -> float:
        domain_load = _OTHER_DOMAIN_LOAD if c.other_domain else 0.0
        return (c.load + 1.0 + domain_load) * c.penalty + 0.1 * tie()

    return sorted(candidates, key=key)


def rendezvous_hash(affinity: str, name: str) -> float:
    """Returns the rendezvous hash of a server for a key, from 0 to 1.

    All nodes compute the same value.

    Args:
      affinity: key of the request.
      name: id of the server.
    """
    digest = hashlib.blake2b(
        f"{affinity}\n{name}".encode(), digest_size=8
    ).digest()
    return int.from_bytes(digest, "big") / 2**64


def preferred(
    usable: Sequence[servers.BackendServer],
    tried_servers: tuple[str, ...],
    only_server: str,
) -> Sequence[servers.BackendServer]:
    """Returns the server to use only, else those not tried, else all."""
    only = [s for s in usable if s.server_id == only_server]
    untried = [s for s in usable if s.server_id not in tried_servers]
    return only or untried or usable


def affinity_key(request: requests.CallerRequest) -> str:
    """Returns the key that requests for the same engine share."""
    if request.adapter:
        return f"{request.model}/{request.adapter}"
    shared = ",".join(part.name for part in request.shared_parts)
    return f"{request.model} {shared}"
