"""Builds the profiles of requests for engine selection."""

from azureline.engine_choice import options
from azureline.relay import ranking
from azureline.relay import requests
from azureline.relay import routes

# An engine that prefills a prompt of at least this length delays its streams.
LONG_PROMPT_TOKENS = 1500
# Lease holders refuse long prompts at an engine with a longer queue, as long as
# another engine may take them.
_MAX_QUEUE_S = 0.2
# Part of an engine's cache that is assumed to keep prefixes; running requests
# use the rest.
_CACHE_RATIO = 0.6
# Prefixes of one prompt of which beliefs are kept.  The shortest are shared by
# most prompts and the longest saves most, so those between are left out.
_MAX_PREFIXES = 4


def build(
    request: requests.CallerRequest,
    route: routes.Route,
    spec: routes.EngineSpec,
    tokens_per_s: float,
    max_gap_s: float,
    run_s: float,
    usual_prompt_s: float,
) -> options.RequestProfile:
    """Returns the profile of a request.

    Args:
      request: the request.
      route: its route.
      spec: properties of the engines of its service.
      tokens_per_s: nominal prefill rate of an engine.
      max_gap_s: longest pause that other prompts may add between two events;
        0 if unlimited.
      run_s: expected seconds from the send to the end of the answer.
      usual_prompt_s: usual seconds of prefill of one queued prompt.
    """
    is_long = request.prompt_tokens >= LONG_PROMPT_TOKENS
    return options.RequestProfile(
        ranking.affinity_key(request),
        _prefixes(request),
        request.prompt_tokens,
        is_long,
        tokens_per_s,
        spec.cache_tokens * _CACHE_RATIO,
        route.target_s,
        max_gap_s,
        run_s,
        _MAX_QUEUE_S if is_long else route.target_s,
        usual_prompt_s,
    )


def _prefixes(request: requests.CallerRequest) -> tuple[options.Prefix, ...]:
    """Returns the shared prefixes of a prompt, the longest first."""
    key, tokens = f"{request.model}/{request.adapter}", 0
    found = []
    for part in request.shared_parts:
        key, tokens = f"{key} {part.name}", tokens + part.tokens
        found.append(options.Prefix(key, min(tokens, request.prompt_tokens)))
    kept = found[: _MAX_PREFIXES - 1] + found[_MAX_PREFIXES - 1 :][-1:]
    return tuple(reversed(kept))
