"""Inputs and results of engine selection."""

import enum
import math
from typing import NamedTuple

from azureline.relay import servers


class Prefix(NamedTuple):
    """A beginning of a prompt that other prompts may share.

    Attributes:
      key: its weights and the names of its parts.
      tokens: its length.
    """

    key: str
    tokens: int


class RequestProfile(NamedTuple):
    """What engine selection needs to know about a request.

    Attributes:
      affinity: key that requests with the same shared prefix have.
      prefixes: the shared prefixes, the longest first.
      prompt_tokens: length of the whole prompt.
      is_long: whether an engine delays its streams to prefill the prompt.
      tokens_per_s: nominal prefill rate of an engine.
      cache_tokens: tokens of prefixes that an engine's cache holds.
      target_s: latest time to the first event that is in time.
      max_gap_s: longest pause that other prompts may add between two events;
        0 if unlimited.
      run_s: expected seconds from the send to the end of the answer.
      max_wait_s: longest queue with which an engine is asked first.
      usual_prompt_s: usual seconds of prefill of one queued prompt.
    """

    affinity: str
    prefixes: tuple[Prefix, ...]
    prompt_tokens: int
    is_long: bool
    tokens_per_s: float
    cache_tokens: float
    target_s: float
    max_gap_s: float
    run_s: float
    max_wait_s: float
    usual_prompt_s: float

    @property
    def shared_tokens(self) -> int:
        """Tokens of the longest shared prefix."""
        return self.prefixes[0].tokens if self.prefixes else 0


class Belief(NamedTuple):
    """What an engine is believed to cache of a prompt.

    Attributes:
      tokens: tokens of the cached prefix.
      at: monotonic time in seconds at which it was learnt.
      prefilled_s: seconds of prefill at the engine since then.
      reliability: part of such beliefs about the engine that proved right.
    """

    tokens: int
    at: float
    prefilled_s: float = 0.0
    reliability: float = 1.0


class Queue(NamedTuple):
    """Prompts queued at an engine, as this node knows.

    Attributes:
      busy_until: monotonic time in seconds at which the engine will have
        prefilled what was queued at the last reply and what was sent since.
      replied_at: monotonic time in seconds of the lease holder's last reply;
        -inf without one.
      asked_s: seconds of prefill of requests that await a reply.
      is_unanswered: whether the lease holder did not reply to the last
        reservation request, so that only the load tells of the queue.
    """

    busy_until: float = -math.inf
    replied_at: float = -math.inf
    asked_s: float = 0.0
    is_unanswered: bool = False


class Candidate(NamedTuple):
    """An engine that could run a request, and what is known about it.

    Attributes:
      server: the engine.
      load: requests at it, as far as this node knows.
      penalty: factor on its times for recent failures; 1 without any.
      other_domain: whether it is in another failure domain.
      ready: whether it can run the request without loading an adapter.
      busy: whether it cannot load anything now.
      reading_ratio: part of its time that it prefills, 0 to 1.
      reported_at: monotonic time in seconds of its last load report; -inf
        without one.
      speed_ratio: its prefill time relative to the nominal rate.
      queue: prompts queued at it.
      belief: what it is believed to cache of the prompt; None if unknown.
    """

    server: servers.BackendServer
    load: float = 0.0
    penalty: float = 1.0
    other_domain: bool = False
    ready: bool = True
    busy: bool = False
    reading_ratio: float = 0.0
    reported_at: float = -math.inf
    speed_ratio: float = 1.0
    queue: Queue = Queue()
    belief: Belief | None = None


class Reason(enum.Enum):
    """Why an engine has its place in the order."""

    HOME = "home"
    NO_BELIEF = "no_belief"
    CACHED = "cached"
    WAIT = "wait"
    AVOIDED = "avoided"
    AFFINITY = "affinity"  # Costs are not weighed.


class Option(NamedTuple):
    """An engine with the cost of a request there.

    Attributes:
      server: the engine.
      cost_s: the cost in seconds.
      known_wait_s: seconds until the engine has done what this node knows of.
      usual_wait_s: expected seconds of prompts that this node does not know.
      prefill_s: expected seconds of prefill of what is not cached.
      saved_s: expected seconds of prefill that its cache saves.
      delay_s: delay of other requests there that is counted, in seconds.
      gap_s: cost of pauses in the answer that prefill there makes.
      domain_s: price of traffic to another failure domain, in seconds.
      place: place in the rendezvous order of engines equally suited; 0 is the
        home of the prefix.
      reason: why the engine would be chosen.
      candidate: the inputs.
      belief_age_s: seconds since the belief was learnt; infinite without one.
      queue_age_s: seconds since the last reply; infinite without one.
      load_age_s: seconds since the last load report; infinite without one.
    """

    server: servers.BackendServer
    cost_s: float
    known_wait_s: float
    usual_wait_s: float
    prefill_s: float
    saved_s: float
    delay_s: float
    gap_s: float
    domain_s: float
    place: int
    reason: Reason
    candidate: Candidate
    belief_age_s: float
    queue_age_s: float
    load_age_s: float

    @property
    def wait_s(self) -> float:
        """Expected seconds until the engine begins with the prompt."""
        return self.known_wait_s + self.usual_wait_s
