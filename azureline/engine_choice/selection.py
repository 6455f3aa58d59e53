"""Orders the engines that could run a request by cost.

Engines equally suited are considered in the rendezvous order of the request's
shared prefix (Thaler and Ravishankar, 1998), two before any other.  All nodes
compute the same order, so with equal waits they agree on the home of a prefix,
and old reports move the requests of one prefix to one other engine, those of
different prefixes to different engines.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import itertools
import math
from typing import NamedTuple

from azureline.engine_choice import cost
from azureline.engine_choice import options
from azureline.relay import ranking

# Engines that are considered before any other.
_FIRST_PLACES = 2
# Another engine than the home has to save more than this: less is within the
# error of the estimates, and each change of engine costs a cache miss.  With
# 0.02 s the answers to callers without a cached prefix began up to 8% later.
_MIN_GAIN_S = 0.05
# An engine that is expected to cache more than this part of a shared prefix is
# considered at any place; a belief that has faded adds no engine.
_BELIEVED_PART = 0.5
# Engines with a higher factor for failures come last.
_MAX_PENALTY = 3.0
# Short prompts avoid an engine above this many times the mean load, and so do
# long ones if the engine's lease holder does not reply ...
_MAX_RELATIVE_LOAD = 1.25
# ... plus this many requests.
_EXTRA_REQUESTS = 1.5
# Streams pause while their engine prefills, so short prompts avoid an engine
# that spends more than this part of its time on it ...
_MAX_READING_RATIO = 0.5
# ... and exceeds the mean over the engines by more than this.
_READING_RATIO_MARGIN = 0.1
# They also avoid one where the part of streams that pause for too long exceeds
# the mean by more than this.
_RISK_MARGIN = 0.15


def rank_by_affinity(
    affinity: str, is_long: bool, candidates: Sequence[ranking.Candidate]
) -> list[options.Option]:
    """Returns the engines in the order to try them without weighing costs.

    Args:
      affinity: key that requests with the same shared prefix have.
      is_long: whether an engine delays its streams to prefill the prompt.
      candidates: engines that can run the request.
    """
    ordered = ranking.rank_by_affinity(
        candidates, affinity, near_first=not is_long
    )
    return [
        options.Option(
            candidate.server,
            cost_s=0.0,
            known_wait_s=0.0,
            usual_wait_s=0.0,
            prefill_s=0.0,
            saved_s=0.0,
            delay_s=0.0,
            gap_s=0.0,
            domain_s=0.0,
            place=place,
            reason=options.Reason.AFFINITY,
            candidate=options.Candidate(
                candidate.server,
                candidate.load,
                candidate.penalty,
                candidate.other_domain,
                candidate.ready,
                candidate.busy,
                candidate.reading_ratio,
            ),
            belief_age_s=math.inf,
            queue_age_s=math.inf,
            load_age_s=math.inf,
        )
        for place, candidate in enumerate(ordered)
    ]


class _Bounds(NamedTuple):
    """Bounds above which short prompts avoid an engine."""

    load: float
    reading_ratio: float
    gap_risk: float


class _Class(NamedTuple):
    """How well an engine is suited; lower classes come first."""

    stuck: bool
    avoided: bool
    far: bool


def rank(
    profile: options.RequestProfile,
    candidates: Sequence[options.Candidate],
    now: float,
) -> list[options.Option]:
    """Returns the engines in the order in which to try them.

    Args:
      profile: the request.
      candidates: engines that can run it.
      now: monotonic time in seconds.
    """
    if not candidates:
        return []
    bounds = _bounds(profile, candidates)
    classed = [(_class(c, profile, bounds, now), c) for c in candidates]
    classed.sort(key=lambda row: (row[0], -_hash(profile, row[1])))
    ranked: list[options.Option] = []
    for _, rows in itertools.groupby(classed, key=lambda row: row[0]):
        found = [
            cost.option(c, profile, place, now)
            for place, (_, c) in enumerate(rows)
        ]
        ranked += _order(found, profile)
    classes = {c.server.server_id: kind for kind, c in classed}
    home = _home(profile, ranked)
    return [_with_reason(o, home, classes, profile.max_wait_s) for o in ranked]


def _home(
    profile: options.RequestProfile, ranked: Sequence[options.Option]
) -> options.Option:
    """Returns the engine that gets a prefix while all are equally suited."""

    def key(option: options.Option) -> tuple[bool, float]:
        near = profile.is_long or not option.candidate.other_domain
        return near, _hash(profile, option.candidate)

    return max(ranked, key=key)


def _hash(
    profile: options.RequestProfile, candidate: options.Candidate
) -> float:
    return ranking.rendezvous_hash(profile.affinity, candidate.server.server_id)


def _bounds(
    profile: options.RequestProfile, candidates: Sequence[options.Candidate]
) -> _Bounds:
    count = len(candidates)
    load = sum(c.load for c in candidates) / count
    ratio = sum(c.reading_ratio for c in candidates) / count
    risk = sum(cost.gap_risk(c, profile) for c in candidates) / count
    return _Bounds(
        _MAX_RELATIVE_LOAD * load + _EXTRA_REQUESTS,
        max(_MAX_READING_RATIO, ratio + _READING_RATIO_MARGIN),
        risk + _RISK_MARGIN,
    )


def _class(
    candidate: options.Candidate,
    profile: options.RequestProfile,
    bounds: _Bounds,
    now: float,
) -> _Class:
    stuck = candidate.busy and not candidate.ready
    failing = candidate.penalty > _MAX_PENALTY
    overloaded = candidate.load * candidate.penalty > bounds.load
    if profile.is_long:
        # The lease holder, which knows the exact queue, decides on the load.
        overloaded = overloaded and candidate.queue.is_unanswered
        return _Class(stuck, failing or overloaded, False)
    avoided = (
        overloaded
        or candidate.reading_ratio > bounds.reading_ratio
        or cost.gap_risk(candidate, profile) > bounds.gap_risk
    )
    is_late = cost.known_wait_s(candidate, profile, now) > profile.max_wait_s
    return _Class(stuck, failing or avoided or is_late, candidate.other_domain)


def _order(
    found: list[options.Option], profile: options.RequestProfile
) -> list[options.Option]:
    """Returns options of one class, given in the rendezvous order, by cost."""
    full = [o for o in found if o.known_wait_s > profile.max_wait_s]
    open_ones = [o for o in found if o.known_wait_s <= profile.max_wait_s]
    first = open_ones[:_FIRST_PLACES]
    others = []
    for option in open_ones[_FIRST_PLACES:]:
        best = min(first, key=_preference)
        # The next engine is considered if it is believed to cache the prefix,
        # or if the known wait costs more than the best cache so far saves.
        # Load reports alone, which all nodes receive, consider no other engine.
        if (
            _is_believed(option, profile)
            or best.known_wait_s > best.saved_s + _MIN_GAIN_S
        ):
            first.append(option)
        else:
            others.append(option)
    first.sort(key=_preference)
    return first + others + sorted(full, key=lambda o: o.cost_s)


def _is_believed(
    option: options.Option, profile: options.RequestProfile
) -> bool:
    """Returns whether an engine is likely to cache most of a prefix."""
    per_token_s = option.candidate.speed_ratio / profile.tokens_per_s
    cached = option.saved_s / per_token_s
    return (
        option.candidate.belief is not None
        and cached > _BELIEVED_PART * profile.shared_tokens
    )


def _preference(option: options.Option) -> float:
    return option.cost_s + (_MIN_GAIN_S if option.place else 0.0)


def _with_reason(
    option: options.Option,
    home: options.Option,
    classes: Mapping[str, _Class],
    max_wait_s: float,
) -> options.Option:
    """Returns an option with the reason for choosing it over the home."""
    if option.server == home.server:
        return option
    is_other_class = (
        classes[option.server.server_id] != classes[home.server.server_id]
    )
    if home.known_wait_s <= max_wait_s and is_other_class:
        return option._replace(reason=options.Reason.AVOIDED)
    if option.saved_s > home.saved_s:
        return option._replace(reason=options.Reason.CACHED)
    return option._replace(reason=options.Reason.WAIT)
