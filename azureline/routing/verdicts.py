"""Verdicts on calls that may crash the backend servers that run them."""

from typing import NamedTuple


class Allowed(NamedTuple):
    """The call may run on any server."""


class Quarantine(NamedTuple):
    """The call is a suspect and may run now, on one server only.

    Attributes:
      server: name of that server.
      suspects: the suspected signatures of the call.
    """

    server: str
    suspects: tuple[bytes, ...] = ()


class Wait(NamedTuple):
    """The call must wait before the next check.

    Attributes:
      until: Unix time in seconds at which to check it again.
    """

    until: float


Verdict = Allowed | Quarantine | Wait
