"""Local limits on the calls that this node has in flight at one engine.

Nodes admit calls independently and share no state of an engine, so each adapts
a limit of its own to the latency of answers: additive increase while answers
stay within the bounds and the limit is in use, multiplicative decrease when
they exceed the bounds (after Chiu and Jain, "Analysis of the Increase and
Decrease Algorithms", 1989, which shows that this pair converges to fair
shares).
"""

import random
from typing import NamedTuple

from azureline.routing import outcome as outcomes

# Relative growth per answer of a limit below 1.  The growth of larger limits,
# `increase / limit`, would be several times such a limit.
_GROWTH_BELOW_ONE = 0.25
# Slow start raises a limit for each first token that arrives within this part
# of the bound on the first token.
SLOW_START_FIRST_TOKEN_FRACTION = 0.5
# Slow start ends when the time between tokens exceeds this part of its bound.
SLOW_START_TOKEN_GAP_FRACTION = 0.7
_RECENTLY_USED_S = 2.0
_NEVER = float("-inf")
_SERVICE_WEIGHT = 0.2


class Settings(NamedTuple):
    """Settings of the local limits.

    Attributes:
      first_token_s: bound in seconds on the time to the first token.
      token_gap_s: bound in seconds on the time between tokens.
      headroom: fraction of a bound above which an answer counts as exceeding
        the bound.
      initial: limit of an engine that is new to this node: the number of
        requests that an engine runs concurrently, divided by the number of
        nodes.
      minimum: lowest limit; below 1 the node pauses between its calls.
      maximum: highest limit.
      increase: growth of the limit per round, in which as many answers as the
        limit arrive.
      decrease: factor on the limit after an answer that exceeds a bound.
      min_cut_interval_s: minimum number of seconds between two cuts.
      reserve: number of calls by which the highest class may exceed a limit of
        1 or more, so that it does not wait for calls of a lower class to end.
      min_utilization: fraction of the limit that must have been outstanding
        recently for the limit to grow.
    """

    first_token_s: float = 1.1
    token_gap_s: float = 0.079
    headroom: float = 0.97
    initial: float = 4.0
    minimum: float = 0.125
    maximum: float = 256.0
    increase: float = 1.0
    decrease: float = 0.9
    min_cut_interval_s: float = 0.5
    reserve: float = 1.0
    min_utilization: float = 0.75


DEFAULTS = Settings()


def settings_for_fleet(
    max_running: int, nodes: int, settings: Settings = DEFAULTS
) -> Settings:
    """Returns settings for engines that a number of nodes share.

    Args:
      max_running: number of requests that an engine runs concurrently.
      nodes: number of nodes that send to the same engines.
      settings: the settings to adapt.
    """
    share = max_running / max(1, nodes)
    return settings._replace(
        initial=min(settings.initial, share),
        minimum=min(0.5, share / 8.0),
    )


class _Engine:
    """The limit of one engine and the calls that count against it."""

    __slots__ = (
        "cut_at",
        "limit",
        "outstanding",
        "paused_until",
        "service_s",
        "slow_start",
        "used_at",
    )

    def __init__(self, limit: float):
        self.limit = limit
        self.outstanding = 0
        self.cut_at = _NEVER
        self.paused_until = float("-inf")
        self.service_s = 0.0
        self.slow_start = True
        self.used_at = float("-inf")


class Limits:
    """An adaptive concurrency limit for each engine."""

    def __init__(
        self, settings: Settings = DEFAULTS, rng: random.Random | None = None
    ):
        """Creates limits; an engine gets its limit at its first use.

        Args:
          settings: the settings.
          rng: source of the jitter on pauses, which prevents nodes that were
            paused at the same time from resuming at the same time; None for
            no jitter.
        """
        self._settings = settings
        self._rng = rng
        self._engines: dict[str, _Engine] = {}

    def has_capacity(
        self, now: float, engine: str, reserve: bool = False
    ) -> bool:
        """Returns whether one more call may be sent to the engine.

        Args:
          now: monotonic time in seconds.
          engine: name of the engine.
          reserve: whether the call may use the reserve above the limit.
        """
        state = self._engine(engine)
        if state.limit >= 1.0:
            extra = self._settings.reserve if reserve else 0.0
            return state.outstanding + 1 <= state.limit + extra
        return state.outstanding == 0 and now >= state.paused_until

    def limit(self, engine: str) -> float:
        """Returns the current limit of the engine."""
        return self._engine(engine).limit

    def started(self, now: float, engine: str) -> None:
        """Counts a sent call."""
        state = self._engine(engine)
        state.outstanding += 1
        # Adds one, since a limit of 2.9 is exhausted by two calls.
        if state.outstanding + 1 > self._settings.min_utilization * state.limit:
            state.used_at = now

    def observed(
        self,
        now: float,
        engine: str,
        first_token_s: float | None = None,
        token_gap_s: float | None = None,
    ) -> None:
        """Adapts the limit to a call in flight.

        Generations run long: a limit adapted only to completed ones would be
        cut one generation too late.  Until its first cut, or until the time
        between tokens nears its bound, a limit also grows with each first
        token that arrives well within the bound, as in the slow start of TCP
        (Jacobson, "Congestion Avoidance and Control", 1988).  After that it
        grows with complete answers only.

        Args:
          now: monotonic time in seconds.
          engine: name of the engine.
          first_token_s: seconds to the first token if it has just arrived, or
            None.
          token_gap_s: mean seconds between the latest tokens, or None.
        """
        state = self._engine(engine)
        if self._exceeds_bound(first_token_s, token_gap_s):
            self._cut(now, state)
        elif self._near_bound(token_gap_s):
            state.slow_start = False
        elif self._in_slow_start(now, state, first_token_s):
            self._raise(state, 1.0)

    def set_latency_bounds(
        self, first_token_s: float, token_gap_s: float
    ) -> None:
        """Sets the bounds, in seconds, on the latency of answers."""
        self._settings = self._settings._replace(
            first_token_s=first_token_s, token_gap_s=token_gap_s
        )

    def set_initial(self, initial: float) -> None:
        """Sets the initial limit.

        Engines whose limit has never been cut get at least the new one.

        Args:
          initial: number of requests that an engine runs concurrently, divided
            by the number of nodes.
        """
        self._settings = self._settings._replace(
            initial=initial, minimum=min(0.5, initial / 8.0)
        )
        for state in self._engines.values():
            if state.cut_at == _NEVER:
                state.limit = max(state.limit, initial)

    def finished(
        self, now: float, engine: str, sample: outcomes.Sample
    ) -> None:
        """Ends a call and adapts the limit to its outcome and latency."""
        state = self._engine(engine)
        match sample.outcome:
            case outcomes.Outcome.BUSY:
                self._cut(now, state)
            case outcomes.Outcome.WHOLE:
                self._learn_service(state, sample)
                if self._exceeds_bound(
                    sample.first_token_s, sample.token_gap_s
                ):
                    self._cut(now, state)
                elif now - state.used_at <= max(1.0, 2.0 * state.service_s):
                    self._grow(state)
            case _:
                pass
        state.outstanding = max(0, state.outstanding - 1)
        if state.limit < 1.0:
            pause_s = state.service_s * (1.0 / state.limit - 1.0)
            if self._rng is not None:
                pause_s *= self._rng.uniform(0.5, 1.5)
            state.paused_until = now + pause_s

    def reset(self, engine: str) -> None:
        """Resets the limit of a restarted engine.

        Outstanding calls stay counted until `finished` is called for them.
        """
        state = self._engines.pop(engine, None)
        if state is not None and state.outstanding:
            self._engine(engine).outstanding = state.outstanding

    def _engine(self, engine: str) -> _Engine:
        state = self._engines.get(engine)
        if state is None:
            state = self._engines[engine] = _Engine(self._settings.initial)
        return state

    def _exceeds_bound(
        self, first_token_s: float | None, token_gap_s: float | None
    ) -> bool:
        settings = self._settings
        late = (first_token_s or 0.0) > (
            settings.headroom * settings.first_token_s
        )
        slow = (token_gap_s or 0.0) > settings.headroom * settings.token_gap_s
        return late or slow

    def _cut(self, now: float, state: _Engine) -> None:
        # Calls that were sent under an earlier, higher limit must end before
        # an answer reflects the current limit.
        if state.outstanding > state.limit + 1.0:
            return
        if now - state.cut_at < self._settings.min_cut_interval_s:
            return
        state.cut_at = now
        state.slow_start = False
        state.limit = max(
            self._settings.minimum, state.limit * self._settings.decrease
        )

    def _near_bound(self, token_gap_s: float | None) -> bool:
        # The time to the first token stays short in a batch whose steps slow
        # down, so on that measure alone the limit would grow too far.
        bound_s = SLOW_START_TOKEN_GAP_FRACTION * self._settings.token_gap_s
        return token_gap_s is not None and token_gap_s > bound_s

    def _in_slow_start(
        self, now: float, state: _Engine, first_token_s: float | None
    ) -> bool:
        if first_token_s is None or not state.slow_start:
            return False
        fast_s = SLOW_START_FIRST_TOKEN_FRACTION * self._settings.first_token_s
        return (
            first_token_s <= fast_s and now - state.used_at <= _RECENTLY_USED_S
        )

    def _grow(self, state: _Engine) -> None:
        if state.limit < 1.0:
            self._raise(state, _GROWTH_BELOW_ONE * state.limit)
        else:
            self._raise(state, self._settings.increase / state.limit)

    def _raise(self, state: _Engine, step: float) -> None:
        state.limit = min(self._settings.maximum, state.limit + step)

    def _learn_service(self, state: _Engine, sample: outcomes.Sample) -> None:
        # The service time of an overloaded engine is longer than its service
        # time at the bound.  Scaling it down prevents pauses that would leave
        # the engine idle long after the overload.
        gap_s = max(sample.token_gap_s or 0.0, self._settings.token_gap_s)
        service_s = sample.service_s * self._settings.token_gap_s / gap_s
        if state.service_s == 0.0:
            state.service_s = service_s
        state.service_s += _SERVICE_WEIGHT * (service_s - state.service_s)
