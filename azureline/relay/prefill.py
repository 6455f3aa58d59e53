"""How long prompts would wait at one engine before they are read.

An engine reads prompts in pieces between the tokens of all its streams.  When
several long prompts are read back to back, every stream there pauses for
longer than its callers take, so the engine's holder spaces them out.
"""

import collections
from typing import NamedTuple

from azureline.relay import requests

# Parts of prompts stay in an engine's memory beside running requests; only
# this part of the memory is counted on.
_CACHE_PART = 0.6


class Prompt(NamedTuple):
    """A prompt that is to be read.

    Attributes:
      weights: the model and adapter, which have a memory of their own.
      tokens: its whole length.
      shared: the parts that other prompts have too, in order.
    """

    weights: str
    tokens: int
    shared: tuple[requests.PromptPart, ...]


class PrefillBook:
    """Prompts that an engine was given, and those that it remembers."""

    def __init__(self, tokens_per_s: float, cache_tokens: int):
        """Creates a book of an engine that has read nothing.

        Args:
          tokens_per_s: tokens of prompts that the engine reads a second.
          cache_tokens: tokens that its memory holds.
        """
        self._tokens_per_s = tokens_per_s
        self._room = int(cache_tokens * _CACHE_PART)
        self._kept: collections.OrderedDict[tuple[str, ...], int] = (
            collections.OrderedDict()
        )
        self._kept_tokens = 0
        self._busy_until = 0.0

    def backlog_s(self, now: float) -> float:
        """Returns seconds that a prompt would wait."""
        return max(0.0, self._busy_until - now)

    def unread(self, prompt: Prompt) -> int:
        """Returns the tokens of a prompt that the engine must read."""
        known = 0
        for chain, tokens in _chains(prompt):
            if chain not in self._kept:
                break
            known += tokens
        return max(0, prompt.tokens - known)

    def reserve(self, prompt: Prompt, now: float) -> float:
        """Counts a prompt in; returns the seconds that it waits."""
        wait_s = self.backlog_s(now)
        reading_s = self.unread(prompt) / self._tokens_per_s
        self._busy_until = now + wait_s + reading_s
        for chain, tokens in _chains(prompt):
            self._keep(chain, tokens)
        return wait_s

    def forget(self, model: str) -> None:
        """Drops what was read for a model that the engine unloads."""
        for chain in [c for c in self._kept if c[0].split("/")[0] == model]:
            self._kept_tokens -= self._kept.pop(chain)

    def _keep(self, chain: tuple[str, ...], tokens: int) -> None:
        if chain in self._kept:
            self._kept.move_to_end(chain)
            return
        self._kept[chain] = tokens
        self._kept_tokens += tokens
        while self._kept_tokens > self._room:
            _, dropped = self._kept.popitem(last=False)
            self._kept_tokens -= dropped


def _chains(prompt: Prompt) -> list[tuple[tuple[str, ...], int]]:
    """Returns the beginnings of a prompt with the length of each last part."""
    chain: tuple[str, ...] = (prompt.weights,)
    found = []
    for part in prompt.shared:
        chain = (*chain, part.name)
        found.append((chain, part.tokens))
    return found
