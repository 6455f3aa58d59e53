"""The text that the engine stand-in generates, computable by its checkers."""

import hashlib
import json
import random
from typing import Any

_WORDS = ("seam", "chuck", "roll", "hook", "gauge", "needle", "dial", "latch")


def tokens(
    model: str, adapter: str, messages: list[dict[str, Any]], max_tokens: int
) -> list[str]:
    """Returns the answer's tokens, which depend only on the arguments.

    Args:
      model: name of the model.
      adapter: name of the adapter, or "".
      messages: the prompt as sent.
      max_tokens: number of tokens; the answer never ends earlier.
    """
    prompt = json.dumps([model, adapter, messages], sort_keys=True)
    seed = hashlib.sha256(prompt.encode()).digest()
    words = random.Random(seed).choices(_WORDS, k=max_tokens)
    return [f"{word}-{i} " for i, word in enumerate(words, 1)]


def text(
    model: str, adapter: str, messages: list[dict[str, Any]], max_tokens: int
) -> str:
    """Returns the whole answer; see `tokens`."""
    return "".join(tokens(model, adapter, messages, max_tokens))
