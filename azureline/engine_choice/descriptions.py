"""Describes options for operators, in log lines and explanations."""

import math
from typing import TypedDict

from azureline.engine_choice import options


class Description(TypedDict):
    """One engine with the cost of a request there; see `options.Option`.

    Times and ages are in seconds; an age is None where nothing was learnt.
    """

    server: str
    domain: str
    reason: str
    place: int
    cost_s: float
    known_wait_s: float
    usual_wait_s: float
    prefill_s: float
    saved_s: float
    delay_s: float
    gap_s: float
    domain_s: float
    penalty: float
    load: float
    reading_ratio: float
    speed_ratio: float
    belief_age_s: float | None
    queue_age_s: float | None
    load_age_s: float | None


def describe(option: options.Option) -> Description:
    """Returns the cost of a request at an engine, and its inputs."""
    candidate = option.candidate
    return {
        "server": option.server.server_id,
        "domain": option.server.domain,
        "reason": option.reason.value,
        "place": option.place,
        "cost_s": round(option.cost_s, 4),
        "known_wait_s": round(option.known_wait_s, 4),
        "usual_wait_s": round(option.usual_wait_s, 4),
        "prefill_s": round(option.prefill_s, 4),
        "saved_s": round(option.saved_s, 4),
        "delay_s": round(option.delay_s, 4),
        "gap_s": round(option.gap_s, 4),
        "domain_s": option.domain_s,
        "penalty": round(candidate.penalty, 3),
        "load": candidate.load,
        "reading_ratio": candidate.reading_ratio,
        "speed_ratio": round(candidate.speed_ratio, 3),
        "belief_age_s": _age(option.belief_age_s),
        "queue_age_s": _age(option.queue_age_s),
        "load_age_s": _age(option.load_age_s),
    }


def _age(seconds: float) -> float | None:
    """Returns an age for a JSON document, in which nothing is infinite."""
    return None if math.isinf(seconds) else round(seconds, 3)
