"""What the stand-in for a backend server records for checks."""

from typing import NamedTuple


class ReceivedRequest(NamedTuple):
    """A request that arrived, and the server notice in its reply."""

    request_id: str
    at: float
    born: int
    leaving: bool
    pause_s: float


class ControlCall(NamedTuple):
    """A report or an order that arrived."""

    kind: str
    at: float


class NamedLimit(NamedTuple):
    """A change of the limit in the server's replies.

    Attributes:
      at: Unix time of the change.
      per_s: calls a second from all nodes together; -1 without a limit.
    """

    at: float
    per_s: float


class StartedRequest(NamedTuple):
    """A request that the server started to execute."""

    request_id: str
    at: float
    model: str


class CausedCrash(NamedTuple):
    """A crash that a request caused."""

    request_id: str
    at: float
