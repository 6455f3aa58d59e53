"""An engine that reads prompts in pieces between the tokens of its streams."""

from collections.abc import Iterable

PIECE_TOKENS = 4096
TOKENS_PER_S = 38100.0
STEP_S = 0.0045
STEPS_AN_EVENT = 5
# Attention of a piece to what was read before it, against reading itself.
ATTENTION = 0.2


def longest_pause(sent: Iterable[tuple[float, int]]) -> float:
    """Plays prompts at one engine with a stream that runs all the while.

    Args:
      sent: (seconds, tokens to read) of each prompt.

    Returns:
      The longest time in seconds between two events of the stream.
    """
    coming = sorted(sent)
    now, unread = 0.0, 0
    ends: list[float] = []
    while coming or unread:
        while coming and coming[0][0] <= now:
            unread += coming.pop(0)[1]
        piece = min(unread, PIECE_TOKENS)
        unread -= piece
        now += STEP_S + piece / TOKENS_PER_S * (1 + ATTENTION)
        ends.append(now)
    pairs = zip(ends, ends[STEPS_AN_EVENT:], strict=False)
    return max((after - before for before, after in pairs), default=0.0)
