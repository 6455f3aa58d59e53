"""Model of an engine with chunked prefill.

The engine processes prompts in chunks, one between two decoding steps.
"""

from collections.abc import Iterable

CHUNK_TOKENS = 4096
TOKENS_PER_S = 38100.0
STEP_S = 0.0045
STEPS_PER_EVENT = 5
# Time of a chunk's attention to the chunks before it, as a fraction of the time
# of reading the chunk.
ATTENTION_COST = 0.2


def longest_event_gap_s(sent: Iterable[tuple[float, int]]) -> float:
    """Simulates prompts on one engine that decodes a stream throughout.

    Args:
      sent: arrival time in seconds and number of tokens of each prompt.

    Returns:
      The longest time in seconds between two events of the stream.
    """
    arrivals = sorted(sent)
    now, unread_tokens = 0.0, 0
    ends: list[float] = []
    while arrivals or unread_tokens:
        while arrivals and arrivals[0][0] <= now:
            unread_tokens += arrivals.pop(0)[1]
        chunk_tokens = min(unread_tokens, CHUNK_TOKENS)
        unread_tokens -= chunk_tokens
        now += STEP_S + chunk_tokens / TOKENS_PER_S * (1 + ATTENTION_COST)
        ends.append(now)
    pairs = zip(ends, ends[STEPS_PER_EVENT:], strict=False)
    return max((after - before for before, after in pairs), default=0.0)
