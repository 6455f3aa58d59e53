"""Outcome and measurements of a call that was sent to a backend server."""

import enum
from typing import NamedTuple


class Outcome(enum.Enum):
    """How a sent call ended, with respect to its server.

    Attributes:
      WHOLE: the answer is complete.
      BUSY: the server refused the call, since it was at capacity or shutting
        down.
      FAILED: the server failed.
      CANCELLED: the call ended early for a reason other than its server.
    """

    WHOLE = "whole"
    BUSY = "busy"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Sample(NamedTuple):
    """Measurements of one call at an engine.

    Attributes:
      outcome: how the call ended; `CANCELLED` if the caller disconnected.
      service_s: seconds from sending the call to its end.
      first_token_s: seconds from sending to the first token, or None.
      token_gap_s: mean seconds between its tokens, or None.
      tokens: number of generated tokens.
    """

    outcome: Outcome
    service_s: float
    first_token_s: float | None = None
    token_gap_s: float | None = None
    tokens: int = 0
