"""Which backend server a request goes to.

Requests that share the beginning of their prompts meet on the same engine, by
rendezvous hashing (Thaler and Ravishankar, 1998) with a bound on its load, so
that nodes need to tell each other nothing about prompts.
"""

from collections.abc import Callable
from collections.abc import Sequence
import hashlib
from typing import NamedTuple

from azureline.relay import servers

# An engine is passed over while it has this many times the mean load ...
_BOUND = 1.25
# ... and this many requests more than the mean.
_SLACK = 1.5
# Streams pause beside prompts: a short one goes where they are fewer, if an
# engine reads for more than this part of its time ...
_READING = 0.5
# ... and for this much more than engines do on average.
_READING_SLACK = 0.1
# A server in another failure domain counts as this much more loaded, as
# bytes between domains cost and take longer.
_FAR = 0.35


class Candidate(NamedTuple):
    """A server that may take a request.

    Attributes:
      server: the server.
      load: requests at it, as far as this node knows.
      penalty: factor for its failures; 1 without any.
      far: whether it is in another failure domain.
      ready: whether it needs nothing loaded first.
      busy: whether nothing can be loaded there now.
      reading: part of its time that it reads prompts.
    """

    server: servers.BackendServer
    load: float
    penalty: float
    far: bool
    ready: bool = True
    busy: bool = False
    reading: float = 0.0


def by_affinity(
    candidates: Sequence[Candidate], affinity: str, near_first: bool = True
) -> list[Candidate]:
    """Returns the engines in the order in which to try them.

    Args:
      candidates: engines that can serve the request.
      affinity: text that requests with a common prompt share.
      near_first: whether engines of this failure domain come first; if not,
        requests of all domains meet.
    """
    if not candidates:
        return []
    mean = sum(c.load for c in candidates) / len(candidates)
    bound = _BOUND * mean + _SLACK
    reading = sum(c.reading for c in candidates) / len(candidates)
    most_reading = max(_READING, reading + _READING_SLACK)

    def key(c: Candidate) -> tuple[bool, bool, bool, float]:
        over = c.load * c.penalty > bound or c.penalty > 3.0
        # A long prompt asks the engine's holder, who knows more.
        over = over or (near_first and c.reading > most_reading)
        stuck = c.busy and not c.ready
        far = near_first and c.far
        return (stuck, over, far, -rank(affinity, c.server.server_id))

    return sorted(candidates, key=key)


def by_load(
    candidates: Sequence[Candidate], tie: Callable[[], float]
) -> list[Candidate]:
    """Returns plain servers, the least loaded first.

    Args:
      candidates: servers that can serve the request.
      tie: source of numbers between 0 and 1 that order equal servers.
    """

    def key(c: Candidate) -> float:
        far = _FAR if c.far else 0.0
        return (c.load + 1.0 + far) * c.penalty + 0.1 * tie()

    return sorted(candidates, key=key)


def rank(affinity: str, name: str) -> float:
    """Returns a number between 0 and 1, the same on every node."""
    digest = hashlib.blake2b(
        f"{affinity}\n{name}".encode(), digest_size=8
    ).digest()
    return int.from_bytes(digest, "big") / 2**64
