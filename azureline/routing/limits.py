"""Local limits on the work that this node gives to one engine."""

from typing import NamedTuple

from azureline.routing import outcome as outcomes


class Settings(NamedTuple):
    """Settings of the local limits.

    Attributes:
      first_token_s: bound on the time to the first token.
      token_gap_s: bound on the time between tokens.
      initial: limit of an engine that is new to this node.
      minimum: lowest limit; below 1 the node pauses between its calls.
      maximum: highest limit.
      increase: growth of the limit per answer at the full limit, divided by
        the limit.
      decrease: factor on the limit after an answer over a bound.
    """

    first_token_s: float = 1.1
    token_gap_s: float = 0.079
    initial: float = 4.0
    minimum: float = 0.125
    maximum: float = 256.0
    increase: float = 1.0
    decrease: float = 0.8


DEFAULTS = Settings()


class Limits:
    """An adaptive limit for each engine, raised and cut by its answers."""

    def __init__(self, settings: Settings = DEFAULTS):
        raise NotImplementedError

    def room(self, now: float, engine: str) -> bool:
        """Returns whether one more call may be sent to the engine."""
        raise NotImplementedError

    def limit(self, engine: str) -> float:
        """Returns the present limit of the engine."""
        raise NotImplementedError

    def started(self, now: float, engine: str) -> None:
        """Counts a call that is sent."""
        raise NotImplementedError

    def finished(
        self, now: float, engine: str, sample: outcomes.Sample
    ) -> None:
        """Forgets a call and adapts the limit to what it showed."""
        raise NotImplementedError

    def forget(self, engine: str) -> None:
        """Starts afresh with an engine that was restarted or is gone."""
        raise NotImplementedError
