"""How long prompts would wait at one engine before they are read.

An engine reads prompts in pieces, one with each step that makes a token for
all its streams.  Steps with a whole piece are slow, and an event holds the
tokens of several steps, so prompts that are read back to back make every stream
there pause for longer than its callers take.  The engine's holder spaces them
out: after a run of prompts the engine makes some steps without one.
"""

import collections
import math
from typing import NamedTuple

from azureline.relay import requests

# Parts of prompts stay in an engine's memory beside running requests; only
# this part of the memory is counted on.
_CACHE_PART = 0.6
# Reading without a break for at most this long.  An event holds the tokens of
# five steps, each with a piece of 0.11 s and more for what the piece attends
# to: five in a row make a pause of 0.6 s, the least that callers put up with.
_RUN_S = 0.4
# A break in which an engine makes a few steps of 5 ms without a prompt.
_BREAK_S = 0.03
# A prompt is held back no longer: one that is late anyway does better in the
# engine's own queue, which knows what is urgent, than at the node.
_HELD_S = 0.25
# Prompts that are read sooner never wait: they hardly lengthen a run.
_SHORT_S = 0.04
# Reading takes this many times as long as at the nominal rate, for the steps'
# own time and for attention (1.17 to 1.3 in runs of large models).  Small
# models read in a third of the time; answers show it.
_USUAL_PACE = 1.2
# Weight of the newest answer in a pace.  One answer counts as at most twice as
# slow or fast as the pace so far: parts that were dropped are read again.
_NEWEST = 0.5
_STEP = 2.0
# A pace beyond this shows an engine in trouble, as sound ones take 1.6 at most;
# it may be over soon, so it is not believed for longer without a new answer.
_SLOW_PACE = 2.0
_BELIEVED_S = 3.0
# Time from sending a request to its first event, beside reading.
_TRAVEL_S = 0.012
# Shorter prompts show no pace: travel and other steps outweigh them.
_TELLING_S = 0.04
# The part of an engine's time that it reads is taken over about this time:
# prompts come and go within seconds.
_SHARE_S = 2.0
# Paces that a node remembers.
_MOST_PACES = 4096


class Prompt(NamedTuple):
    """A prompt that is to be read.

    Attributes:
      weights: the model and adapter, which have a memory of their own.
      tokens: its whole length.
      shared: the parts that other prompts have too, in order.
      pace: time to read against the nominal rate, as its sender has seen it
        there of late; 0 if it has not.
    """

    weights: str
    tokens: int
    shared: tuple[requests.PromptPart, ...]
    pace: float = 0.0


class _Pace(NamedTuple):
    """Time to read against the nominal rate, and when it was seen."""

    value: float
    at: float

    def believed(self, now: float) -> bool:
        """Returns whether it may still hold."""
        return self.value <= _SLOW_PACE or now - self.at <= _BELIEVED_S


class Paces:
    """How long engines take to read prompts, as one node sees it."""

    def __init__(self):
        self._paces: collections.OrderedDict[tuple[str, str], _Pace] = (
            collections.OrderedDict()
        )

    def note(
        self,
        server_id: str,
        model: str,
        nominal_s: float,
        took_s: float,
        now: float,
    ) -> None:
        """Learns from a prompt that an engine has read.

        Args:
          server_id: the engine.
          model: the prompt's model.
          nominal_s: seconds to read it at the nominal rate.
          took_s: seconds to the first event, less those of prompts before it.
          now: monotonic time in seconds.
        """
        if nominal_s < _TELLING_S:
            return
        seen = (took_s - _TRAVEL_S) / nominal_s
        pace = self.of(server_id, model, now) or _USUAL_PACE
        seen = min(max(seen, pace / _STEP), pace * _STEP)
        key = (server_id, model)
        self._paces[key] = _Pace(pace + (seen - pace) * _NEWEST, now)
        self._paces.move_to_end(key)
        if len(self._paces) > _MOST_PACES:
            self._paces.popitem(last=False)

    def of(self, server_id: str, model: str, now: float) -> float:
        """Returns an engine's pace with a model; 0 if it is not known."""
        pace = self._paces.get((server_id, model))
        return pace.value if pace and pace.believed(now) else 0.0


class _Place(NamedTuple):
    """When a prompt is begun, and when the run began that it is part of."""

    begin_at: float
    run_began: float


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
        self._paces: dict[str, _Pace] = {}
        self._run_began = -math.inf
        self._busy_until = -math.inf
        # Seconds of reading, fading, and when they were faded last.
        self._read_s = 0.0
        self._read_at = -math.inf

    def wait_s(self, prompt: Prompt, now: float) -> float:
        """Returns seconds until the engine would begin to read a prompt."""
        return self._place(self._reading_s(prompt, now), now).begin_at - now

    def unread(self, prompt: Prompt) -> int:
        """Returns the tokens of a prompt that the engine must read."""
        known = 0
        for chain, tokens in _chains(prompt):
            if chain not in self._kept:
                break
            known += tokens
        return max(0, prompt.tokens - known)

    def nominal_s(self, prompt: Prompt) -> float:
        """Returns seconds to read what is unread at the nominal rate."""
        return self.unread(prompt) / self._tokens_per_s

    def reserve(self, prompt: Prompt, now: float) -> float:
        """Counts a prompt in.

        Args:
          prompt: the prompt.
          now: monotonic time in seconds.

        Returns:
          Seconds until it may be sent; it may then wait at the engine for the
          rest of a run.
        """
        self._learn(prompt, now)
        reading_s = self._reading_s(prompt, now)
        place = self._place(reading_s, now)
        self._run_began = place.run_began
        self._busy_until = place.begin_at + reading_s
        self._read_s = self._faded_s(now) + reading_s
        self._read_at = now
        for chain, tokens in _chains(prompt):
            self._keep(chain, tokens)
        # Only what begins a run, or joins one to come, must be held back.
        early = reading_s <= _SHORT_S
        return 0.0 if early else min(max(0.0, place.run_began - now), _HELD_S)

    def share(self, now: float) -> float:
        """Returns the part of its time that the engine reads prompts."""
        return self._faded_s(now) / _SHARE_S

    def _faded_s(self, now: float) -> float:
        if not self._read_s:
            return 0.0
        return self._read_s * math.exp((self._read_at - now) / _SHARE_S)

    def forget(self, model: str) -> None:
        """Drops what was read for a model that the engine unloads."""
        for chain in [c for c in self._kept if c[0].split("/")[0] == model]:
            self._kept_tokens -= self._kept.pop(chain)

    def _reading_s(self, prompt: Prompt, now: float) -> float:
        return self.nominal_s(prompt) * self._pace(prompt, _USUAL_PACE, now)

    def _pace(self, prompt: Prompt, unknown: float, now: float) -> float:
        pace = self._paces.get(_model(prompt))
        return pace.value if pace and pace.believed(now) else unknown

    def _learn(self, prompt: Prompt, now: float) -> None:
        if prompt.pace > 0.0:
            pace = self._pace(prompt, prompt.pace, now)
            pace += (prompt.pace - pace) * _NEWEST
            self._paces[_model(prompt)] = _Pace(pace, now)

    def _place(self, reading_s: float, now: float) -> _Place:
        """Returns where a prompt would go: in the last run or in a new one."""
        rested_at = self._busy_until + _BREAK_S
        if now >= rested_at:
            return _Place(now, now)
        begin_at = max(now, self._busy_until)
        run_s = begin_at + reading_s - self._run_began
        if reading_s <= _SHORT_S or run_s <= _RUN_S:
            return _Place(begin_at, self._run_began)
        return _Place(rested_at, rested_at)

    def _keep(self, chain: tuple[str, ...], tokens: int) -> None:
        if chain in self._kept:
            self._kept.move_to_end(chain)
            return
        self._kept[chain] = tokens
        self._kept_tokens += tokens
        while self._kept_tokens > self._room:
            _, dropped = self._kept.popitem(last=False)
            self._kept_tokens -= dropped


def _model(prompt: Prompt) -> str:
    return prompt.weights.split("/")[0]


def _chains(prompt: Prompt) -> list[tuple[tuple[str, ...], int]]:
    """Returns the beginnings of a prompt with the length of each last part."""
    chain: tuple[str, ...] = (prompt.weights,)
    found = []
    for part in prompt.shared:
        chain = (*chain, part.name)
        found.append((chain, part.tokens))
    return found
