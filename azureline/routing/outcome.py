"""What the sending of a call to a backend server came to."""

import enum
from typing import NamedTuple


class Outcome(enum.Enum):
    """How a call that was sent ended, as far as its server is concerned."""

    WHOLE = "whole"
    BUSY = "busy"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Sample(NamedTuple):
    """What the answer to one call showed of its engine.

    Attributes:
      outcome: how the call ended; a caller's leaving is `CANCELLED`.
      service_s: seconds from sending to the end.
      first_token_s: seconds from sending to the first token, or None.
      token_gap_s: mean seconds between its tokens, or None.
      tokens: tokens generated.
    """

    outcome: Outcome
    service_s: float
    first_token_s: float | None = None
    token_gap_s: float | None = None
    tokens: int = 0
