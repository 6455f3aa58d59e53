"""Estimates how long prompts wait at one engine before it reads them.

An engine prefills prompts in chunks, one in each step that decodes a token for
all its streams.  Steps with a full chunk are slow, and an event holds the
tokens of several steps, so prompts that are read back to back make every stream
there pause for longer than callers accept.  The engine's lease holder therefore
spaces prompts out: after a run of prompts the engine makes some steps without
one.
"""

import collections
import math
from typing import NamedTuple

from azureline.relay import requests

# Part of an engine's cache that is assumed to keep parts of prompts; running
# requests use the rest.
_CACHE_RATIO = 0.6
# Longest run of reading without a break.  An event holds the tokens of five
# steps, each with a chunk of 0.11 s plus the time for the chunk's attention:
# five in a row make a pause of 0.6 s, the shortest limit that callers set.
_MAX_RUN_S = 0.4
# Break after a run, in which the engine makes a few steps of 5 ms without a
# prompt.
_BREAK_S = 0.03
# Longest time that a node holds a prompt back.  Beyond it the prompt is better
# off in the engine's own queue, which orders by urgency.
_MAX_HOLD_S = 0.25
# Prompts that take less time to read never wait: they hardly lengthen a run.
_SHORT_PROMPT_S = 0.04
# Reading time relative to the nominal rate while nothing was measured.  It is
# above 1 because of the steps' own time and attention (1.17 to 1.3 in runs of
# large models).  Small models need a third of the nominal time, which the times
# of answers show.
_DEFAULT_RATIO = 1.2
# Weight of the newest answer in a ratio.  One answer counts as at most twice or
# at least half the ratio, because the engine may have read evicted parts again.
_NEWEST_WEIGHT = 0.5
_MAX_CHANGE_FACTOR = 2.0
# A ratio above this shows an engine in trouble, as healthy ones have 1.6 at
# most.  The trouble may end soon, so without a new answer the ratio expires.
_SLOW_RATIO = 2.0
_SLOW_RATIO_EXPIRY_S = 3.0
# Time from sending a request to its first event, without reading the prompt.
_NETWORK_S = 0.012
# Shorter prompts give no ratio: network time and other steps outweigh them.
_MIN_MEASURED_S = 0.04
# Time constant of the share of an engine's time that it reads prompts; prompts
# come and go within seconds.
_SHARE_DECAY_S = 2.0
# Upper limit of ratios in memory.
_MAX_RATIOS = 4096


class Prompt(NamedTuple):
    """A prompt that an engine has to read.

    Attributes:
      weights: "model/adapter"; prompts of other weights share no cache.
      tokens: its length.
      shared: the parts that other prompts have too, in order.
      read_time_ratio: reading time relative to the nominal rate, as its sender
        measured it at the engine recently; 0 if it did not.
    """

    weights: str
    tokens: int
    shared: tuple[requests.PromptPart, ...]
    read_time_ratio: float = 0.0


class _Ratio(NamedTuple):
    """Reading time relative to the nominal rate, and when it was measured."""

    value: float
    at: float

    def is_current(self, now: float) -> bool:
        """Returns whether it has not expired."""
        return (
            self.value <= _SLOW_RATIO or now - self.at <= _SLOW_RATIO_EXPIRY_S
        )


class ReadTimeRatios:
    """Reading times of engines relative to the nominal rate, at one node."""

    def __init__(self):
        self._ratios: collections.OrderedDict[tuple[str, str], _Ratio] = (
            collections.OrderedDict()
        )

    def record(
        self,
        server_id: str,
        model: str,
        nominal_s: float,
        took_s: float,
        now: float,
    ) -> None:
        """Updates a ratio after an engine has read a prompt.

        Args:
          server_id: the engine.
          model: the prompt's model.
          nominal_s: seconds to read it at the nominal rate.
          took_s: seconds to the first event, without those of prompts queued
            before it.
          now: monotonic time in seconds.
        """
        if nominal_s < _MIN_MEASURED_S:
            return
        measured = (took_s - _NETWORK_S) / nominal_s
        ratio = self.get(server_id, model, now) or _DEFAULT_RATIO
        measured = min(
            max(measured, ratio / _MAX_CHANGE_FACTOR),
            ratio * _MAX_CHANGE_FACTOR,
        )
        key = (server_id, model)
        self._ratios[key] = _Ratio(
            ratio + (measured - ratio) * _NEWEST_WEIGHT, now
        )
        self._ratios.move_to_end(key)
        if len(self._ratios) > _MAX_RATIOS:
            self._ratios.popitem(last=False)

    def get(self, server_id: str, model: str, now: float) -> float:
        """Returns an engine's ratio for a model; 0 if it is unknown."""
        ratio = self._ratios.get((server_id, model))
        return ratio.value if ratio and ratio.is_current(now) else 0.0


class _Slot(NamedTuple):
    """When the reading of a prompt begins, and when its run began."""

    begin_at: float
    run_began: float


class PrefillQueue:
    """Prompt queue and prefix cache of one engine, at its lease holder."""

    def __init__(self, tokens_per_s: float, cache_tokens: int):
        """Creates the state of an engine that has read nothing.

        Args:
          tokens_per_s: nominal rate at which the engine reads prompts.
          cache_tokens: tokens that its cache holds.
        """
        self._tokens_per_s = tokens_per_s
        self._capacity_tokens = int(cache_tokens * _CACHE_RATIO)
        self._cached: collections.OrderedDict[tuple[str, ...], int] = (
            collections.OrderedDict()
        )
        self._cached_tokens = 0
        self._ratios: dict[str, _Ratio] = {}
        self._run_began = -math.inf
        self._busy_until = -math.inf
        # Exponentially decayed seconds of reading, and when they were updated.
        self._decayed_read_s = 0.0
        self._decayed_at = -math.inf

    def wait_s(self, prompt: Prompt, now: float) -> float:
        """Returns seconds until the engine would begin to read a prompt."""
        return self._slot(self._reading_s(prompt, now), now).begin_at - now

    def uncached_tokens(self, prompt: Prompt) -> int:
        """Returns the tokens of a prompt that the engine has not cached."""
        cached = 0
        for prefix, tokens in _prefixes(prompt):
            if prefix not in self._cached:
                break
            cached += tokens
        return max(0, prompt.tokens - cached)

    def nominal_s(self, prompt: Prompt) -> float:
        """Returns the seconds to read uncached tokens at the nominal rate."""
        return self.uncached_tokens(prompt) / self._tokens_per_s

    def reserve(self, prompt: Prompt, now: float) -> float:
        """Adds a prompt to the queue.

        Args:
          prompt: the prompt.
          now: monotonic time in seconds.

        Returns:
          Seconds until it may be sent; after that it may still wait in the
          engine's queue until the rest of its run has been read.
        """
        self._update_ratio(prompt, now)
        reading_s = self._reading_s(prompt, now)
        slot = self._slot(reading_s, now)
        self._run_began = slot.run_began
        self._busy_until = slot.begin_at + reading_s
        self._decayed_read_s = self._read_s(now) + reading_s
        self._decayed_at = now
        for prefix, tokens in _prefixes(prompt):
            self._cache(prefix, tokens)
        # Only a prompt that starts a run, or joins one that has not begun, must
        # be held back.
        is_short = reading_s <= _SHORT_PROMPT_S
        return (
            0.0
            if is_short
            else min(max(0.0, slot.run_began - now), _MAX_HOLD_S)
        )

    def reading_ratio(self, now: float) -> float:
        """Returns the part of its time that the engine reads prompts."""
        return self._read_s(now) / _SHARE_DECAY_S

    def _read_s(self, now: float) -> float:
        if not self._decayed_read_s:
            return 0.0
        return self._decayed_read_s * math.exp(
            (self._decayed_at - now) / _SHARE_DECAY_S
        )

    def evict_model(self, model: str) -> None:
        """Removes the cached parts of a model that the engine unloads."""
        for prefix in [c for c in self._cached if c[0].split("/")[0] == model]:
            self._cached_tokens -= self._cached.pop(prefix)

    def _reading_s(self, prompt: Prompt, now: float) -> float:
        return self.nominal_s(prompt) * self._ratio(prompt, _DEFAULT_RATIO, now)

    def _ratio(self, prompt: Prompt, default: float, now: float) -> float:
        ratio = self._ratios.get(_model(prompt))
        return ratio.value if ratio and ratio.is_current(now) else default

    def _update_ratio(self, prompt: Prompt, now: float) -> None:
        if prompt.read_time_ratio > 0.0:
            ratio = self._ratio(prompt, prompt.read_time_ratio, now)
            ratio += (prompt.read_time_ratio - ratio) * _NEWEST_WEIGHT
            self._ratios[_model(prompt)] = _Ratio(ratio, now)

    def _slot(self, reading_s: float, now: float) -> _Slot:
        """Returns the slot of a prompt: in the last run or in a new one."""
        break_ends_at = self._busy_until + _BREAK_S
        if now >= break_ends_at:
            return _Slot(now, now)
        begin_at = max(now, self._busy_until)
        run_s = begin_at + reading_s - self._run_began
        if reading_s <= _SHORT_PROMPT_S or run_s <= _MAX_RUN_S:
            return _Slot(begin_at, self._run_began)
        return _Slot(break_ends_at, break_ends_at)

    def _cache(self, prefix: tuple[str, ...], tokens: int) -> None:
        if prefix in self._cached:
            self._cached.move_to_end(prefix)
            return
        self._cached[prefix] = tokens
        self._cached_tokens += tokens
        while self._cached_tokens > self._capacity_tokens:
            _, dropped = self._cached.popitem(last=False)
            self._cached_tokens -= dropped


def _model(prompt: Prompt) -> str:
    return prompt.weights.split("/")[0]


def _prefixes(prompt: Prompt) -> list[tuple[tuple[str, ...], int]]:
    """Returns the prefixes of a prompt with the tokens of each last part."""
    prefix: tuple[str, ...] = (prompt.weights,)
    prefixes = []
    for part in prompt.shared:
        prefix = (*prefix, part.name)
        prefixes.append((prefix, part.tokens))
    return prefixes
