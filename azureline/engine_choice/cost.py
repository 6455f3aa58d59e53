"""Expected cost of a request at an engine, in seconds."""

import math

from azureline.engine_choice import options
from azureline.relay import capacity

# Time constant with which a belief loses weight: engines also evict for reasons
# that no report shows.
_BELIEF_S = 30.0
# Part of the shared prefix that the home and the second engine of the
# rendezvous order are assumed to cache without a belief, because the other
# nodes send the prefix there.
_ASSUMED_CACHED = (0.7, 0.3)
# Time in which the queue of the last reply gives way to the usual queue.  Load
# reports average over 2 s; with 0.5 s, 40 nodes followed them to the same
# engines and more answers were late.
_QUEUE_S = 2.0
# The usual queue is derived from at most this part of time spent on prefill, so
# that a report alone never makes an engine look full.
_MAX_USUAL_RATIO = 0.8
# Two crossings between failure domains of 4.4 ms each, and the price of the
# bytes, which counts as much again.
_OTHER_DOMAIN_S = 0.02


def believed_weight(
    candidate: options.Candidate, profile: options.RequestProfile, now: float
) -> float:
    """Returns the probability, 0 to 1, that a belief still holds."""
    belief = candidate.belief
    if belief is None:
        return 0.0
    prefilled = (
        belief.prefilled_s * profile.tokens_per_s / candidate.speed_ratio
    )
    kept = max(0.0, 1.0 - prefilled / max(1.0, profile.cache_tokens))
    return math.exp(min(0.0, belief.at - now) / _BELIEF_S) * kept


def cached_tokens(
    candidate: options.Candidate,
    profile: options.RequestProfile,
    place: int,
    now: float,
) -> float:
    """Returns the tokens of a prompt that an engine is expected to cache."""
    assumed = 0.0
    if place < len(_ASSUMED_CACHED):
        assumed = _ASSUMED_CACHED[place] * profile.shared_tokens
    belief = candidate.belief
    if belief is None:
        return assumed
    weight = believed_weight(candidate, profile, now)
    tokens = min(belief.tokens, profile.prompt_tokens)
    return belief.reliability * (weight * tokens + (1.0 - weight) * assumed)


def known_wait_s(
    candidate: options.Candidate, profile: options.RequestProfile, now: float
) -> float:
    """Returns the seconds until an engine has done what this node knows of."""
    queue = candidate.queue
    queued_s = max(0.0, queue.busy_until - now) + queue.asked_s
    slots = max(1, candidate.server.slots)
    excess = max(0.0, candidate.load + 1.0 - slots)
    return queued_s + excess * profile.run_s / slots


def usual_wait_s(
    candidate: options.Candidate, profile: options.RequestProfile, now: float
) -> float:
    """Returns the expected seconds of prompts that this node does not know.

    They count more as the last reply ages.
    """
    ratio = min(candidate.reading_ratio, _MAX_USUAL_RATIO)
    # Mean wait before prompts of equal length (Pollaczek and Khinchine).
    usual_s = profile.usual_prompt_s * ratio / (2.0 * (1.0 - ratio))
    age_s = max(0.0, now - candidate.queue.replied_at)
    return usual_s * (1.0 - math.exp(-age_s / _QUEUE_S))


def gap_risk(
    candidate: options.Candidate, profile: options.RequestProfile
) -> float:
    """Returns the probability that a short chat pauses for too long.

    For long prompts the prefill saved weighs more.
    """
    if profile.is_long or profile.max_gap_s <= 0.0:
        return 0.0
    return capacity.paused_part(
        candidate.reading_ratio,
        profile.usual_prompt_s,
        profile.max_gap_s,
        profile.run_s,
    )


def option(
    candidate: options.Candidate,
    profile: options.RequestProfile,
    place: int,
    now: float,
) -> options.Option:
    """Returns an engine with the cost of a request there.

    Args:
      candidate: the engine.
      profile: the request.
      place: place of the engine in the rendezvous order.
      now: monotonic time in seconds.
    """
    per_token_s = candidate.speed_ratio / profile.tokens_per_s
    cached = cached_tokens(candidate, profile, place, now)
    known_s = known_wait_s(candidate, profile, now)
    usual_s = usual_wait_s(candidate, profile, now)
    prefill_s = (profile.prompt_tokens - cached) * per_token_s
    # Each stream there stands still during a chunk, and prompts that arrive
    # meanwhile wait.
    occupied = min(1.0, candidate.load / max(1, candidate.server.slots))
    delay_s = prefill_s * (occupied + candidate.reading_ratio)
    # A late answer counts as much as a wait as long as the target.
    gap_s = gap_risk(candidate, profile) * profile.target_s
    domain_s = _OTHER_DOMAIN_S if candidate.other_domain else 0.0
    own_s = (known_s + usual_s + prefill_s) * candidate.penalty
    belief = candidate.belief
    return options.Option(
        candidate.server,
        own_s + delay_s + gap_s + domain_s,
        known_s,
        usual_s,
        prefill_s,
        cached * per_token_s,
        delay_s,
        gap_s,
        domain_s,
        place,
        options.Reason.NO_BELIEF if belief is None else options.Reason.HOME,
        candidate,
        math.inf if belief is None else now - belief.at,
        now - candidate.queue.replied_at,
        now - candidate.reported_at,
    )
