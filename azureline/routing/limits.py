"""Local limits on the work that this node gives to one engine.

Nodes admit independently and share no picture of an engine, so each adapts a
limit of its own from what answers show: additive increase while answers stay
within the bounds and the limit is in use, multiplicative decrease when they
exceed them (after Chiu and Jain, "Analysis of the Increase and Decrease
Algorithms", 1989, which shows that this pair converges to fair shares).
"""

import random
from typing import NamedTuple

from azureline.routing import outcome as outcomes

# Growth per answer of a limit below 1, where one call per answer would be a
# step of several times the limit.
_SMALL_GROWTH = 0.25
# Part of the bound on the first token within which a limit grows at once.
SLOW_START_SHARE = 0.5
# Part of the bound between tokens at which the quick growth ends.
SLOW_START_GAP_SHARE = 0.7
_IN_USE_S = 2.0
_NEVER = float("-inf")
_SERVICE_WEIGHT = 0.2


class Settings(NamedTuple):
    """Settings of the local limits.

    Attributes:
      first_token_s: bound on the time to the first token.
      token_gap_s: bound on the time between tokens.
      headroom: part of the bounds at which an answer counts as over them.
      initial: limit of an engine that is new to this node; what an engine
        runs at once divided by the number of nodes.
      minimum: lowest limit; below 1 the node pauses between its calls.
      maximum: highest limit.
      increase: growth of the limit per limit's worth of answers.
      decrease: factor on the limit after an answer over a bound.
      settle_s: least seconds between two cuts.
      reserve: calls above a limit of 1 or more that the highest class may
        add, so that it need not wait for a lower class to end.
      in_use: part of the limit that must have been outstanding of late for
        it to grow.
    """

    first_token_s: float = 1.1
    token_gap_s: float = 0.079
    headroom: float = 0.97
    initial: float = 4.0
    minimum: float = 0.125
    maximum: float = 256.0
    increase: float = 1.0
    decrease: float = 0.9
    settle_s: float = 0.5
    reserve: float = 1.0
    in_use: float = 0.75


DEFAULTS = Settings()


def for_fleet(
    max_running: int, nodes: int, settings: Settings = DEFAULTS
) -> Settings:
    """Returns settings for engines that a number of nodes share.

    Args:
      max_running: requests that an engine runs at once.
      nodes: nodes that send to the same engines.
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
    """An adaptive limit for each engine, raised and cut by its answers."""

    def __init__(
        self, settings: Settings = DEFAULTS, rng: random.Random | None = None
    ):
        """Creates limits for engines as they become known.

        Args:
          settings: the settings.
          rng: source of the jitter on pauses, which keeps nodes that were
            slowed together from coming back together; None for no jitter.
        """
        self._settings = settings
        self._rng = rng
        self._engines: dict[str, _Engine] = {}

    def room(self, now: float, engine: str, reserve: bool = False) -> bool:
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
        """Returns the present limit of the engine."""
        return self._engine(engine).limit

    def started(self, now: float, engine: str) -> None:
        """Counts a call that is sent."""
        state = self._engine(engine)
        state.outstanding += 1
        # One more, since a limit of 2.9 is full with 2.
        if state.outstanding + 1 > self._settings.in_use * state.limit:
            state.used_at = now

    def observed(
        self,
        now: float,
        engine: str,
        first_token_s: float | None = None,
        token_gap_s: float | None = None,
    ) -> None:
        """Adapts the limit to a call in flight.

        Generations last long, and a limit that learned only from ended ones
        would be cut a generation too late.  Before its first cut a limit also
        grows by each first token that comes well within the bound, as in the
        slow start of TCP (Jacobson, "Congestion Avoidance and Control", 1988);
        later growth waits for whole answers.

        Args:
          now: monotonic time in seconds.
          engine: name of the engine.
          first_token_s: seconds to the first token, if it has just come.
          token_gap_s: mean seconds between the latest tokens.
        """
        state = self._engine(engine)
        if self._over(first_token_s, token_gap_s):
            self._cut(now, state)
        elif self._near_bound(token_gap_s):
            state.slow_start = False
        elif self._starts_slowly(now, state, first_token_s):
            self._raise(state, 1.0)

    def set_targets(self, first_token_s: float, token_gap_s: float) -> None:
        """Takes other bounds, in seconds, that answers are held against."""
        self._settings = self._settings._replace(
            first_token_s=first_token_s, token_gap_s=token_gap_s
        )

    def set_initial(self, initial: float) -> None:
        """Takes another limit for engines that have not been cut yet.

        Args:
          initial: what an engine runs at once, divided by the number of nodes.
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
        """Forgets a call and adapts the limit to what it showed."""
        state = self._engine(engine)
        match sample.outcome:
            case outcomes.Outcome.BUSY:
                self._cut(now, state)
            case outcomes.Outcome.WHOLE:
                self._learn_service(state, sample)
                if self._over(sample.first_token_s, sample.token_gap_s):
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

    def forget(self, engine: str) -> None:
        """Starts afresh with an engine that was restarted.

        Calls that are outstanding still end through `finished`.
        """
        state = self._engines.pop(engine, None)
        if state is not None and state.outstanding:
            self._engine(engine).outstanding = state.outstanding

    def _engine(self, engine: str) -> _Engine:
        state = self._engines.get(engine)
        if state is None:
            state = self._engines[engine] = _Engine(self._settings.initial)
        return state

    def _over(
        self, first_token_s: float | None, token_gap_s: float | None
    ) -> bool:
        settings = self._settings
        late = (first_token_s or 0.0) > (
            settings.headroom * settings.first_token_s
        )
        slow = (token_gap_s or 0.0) > settings.headroom * settings.token_gap_s
        return late or slow

    def _cut(self, now: float, state: _Engine) -> None:
        # Calls that were sent under an earlier, higher limit must drain
        # before an answer says anything about the present one.
        if state.outstanding > state.limit + 1.0:
            return
        if now - state.cut_at < self._settings.settle_s:
            return
        state.cut_at = now
        state.slow_start = False
        state.limit = max(
            self._settings.minimum, state.limit * self._settings.decrease
        )

    def _near_bound(self, token_gap_s: float | None) -> bool:
        # First tokens stay quick in a batch whose steps grow slow, so they
        # alone would let the limit grow past the bound.
        bound_s = SLOW_START_GAP_SHARE * self._settings.token_gap_s
        return token_gap_s is not None and token_gap_s > bound_s

    def _starts_slowly(
        self, now: float, state: _Engine, first_token_s: float | None
    ) -> bool:
        if first_token_s is None or not state.slow_start:
            return False
        quick_s = SLOW_START_SHARE * self._settings.first_token_s
        return first_token_s <= quick_s and now - state.used_at <= _IN_USE_S

    def _grow(self, state: _Engine) -> None:
        if state.limit < 1.0:
            self._raise(state, _SMALL_GROWTH * state.limit)
        else:
            self._raise(state, self._settings.increase / state.limit)

    def _raise(self, state: _Engine, step: float) -> None:
        state.limit = min(self._settings.maximum, state.limit + step)

    def _learn_service(self, state: _Engine, sample: outcomes.Sample) -> None:
        # What an overfilled engine took is not what it takes at its bound;
        # pauses by it would leave the engine idle long after.
        gap_s = max(sample.token_gap_s or 0.0, self._settings.token_gap_s)
        service_s = sample.service_s * self._settings.token_gap_s / gap_s
        if state.service_s == 0.0:
            state.service_s = service_s
        state.service_s += _SERVICE_WEIGHT * (service_s - state.service_s)
