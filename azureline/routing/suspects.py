"""Requests that crash the backend servers that run them."""

from collections.abc import Iterable
import random
from typing import NamedTuple

from azureline import requests
from azureline.core import errors


class Crash(NamedTuple):
    """One crash of a backend server.

    Attributes:
      server: name of the backend server.
      incarnation: the incarnation that died, which makes the crash unique.
    """

    server: str
    incarnation: str


class SuspectSeen(NamedTuple):
    """A rumour: what a node knows about one content.

    Merging is a union of the crashes and the larger of each number, so that
    rumours may be repeated, late and in any order.

    Attributes:
      content: digest of the request's content.
      crashes: crashes with this content in flight.
      alone: those of them in which no other content was in flight.
      cleared: Unix time in seconds of the latest whole run, or 0.
      seen: Unix time in seconds of the latest crash.
    """

    content: bytes
    crashes: tuple[Crash, ...]
    alone: tuple[Crash, ...]
    cleared: float
    seen: float


class Settings(NamedTuple):
    """Settings of the watch for crashing requests.

    Attributes:
      convicting_crashes: crashes after which a content is refused.
      refuse_s: seconds for which a convicted content is refused.
      suspect_s: seconds after which a suspect without a crash is forgotten.
      entries: contents that are remembered at most.
      quarantine_load: calls of this node that may be outstanding on an
        engine that is given a suspect.
    """

    convicting_crashes: int = 2
    refuse_s: float = 600.0
    suspect_s: float = 900.0
    entries: int = 4096
    quarantine_load: int = 2


DEFAULTS = Settings()


class Clear(NamedTuple):
    """The call is under no suspicion."""


class Quarantine(NamedTuple):
    """The call must run apart from other suspects.

    Attributes:
      avoid: servers that run a suspect at present or have crashed with this
        content.
    """

    avoid: frozenset[str]


class Wait(NamedTuple):
    """The call is a suspect and must wait its turn.

    Attributes:
      until: monotonic time in seconds at which to ask again.
    """

    until: float


class Suspects:
    """What one node knows and rumours about crashing requests."""

    def __init__(
        self,
        node: str,
        rng: random.Random,
        settings: Settings = DEFAULTS,
    ):
        raise NotImplementedError

    def check(
        self, now: float, wall: float, call: requests.ModelCall
    ) -> Clear | Quarantine | Wait | errors.Refusal:
        """Decides whether and how a call may be sent."""
        raise NotImplementedError

    def started(
        self, now: float, server: str, call: requests.ModelCall
    ) -> None:
        """Counts a call as in flight at a server."""
        raise NotImplementedError

    def finished(
        self,
        now: float,
        wall: float,
        server: str,
        call: requests.ModelCall,
        whole: bool,
    ) -> None:
        """Ends a call in flight; a whole run clears its content."""
        raise NotImplementedError

    def crashed(
        self, now: float, wall: float, crash: Crash
    ) -> tuple[requests.ModelCall, ...]:
        """Makes suspects of all calls in flight at a server that died.

        Returns:
          Those calls; each is to be offered again or refused.
        """
        raise NotImplementedError

    def heard(self, now: float, rumours: Iterable[SuspectSeen]) -> None:
        """Merges what other nodes know."""
        raise NotImplementedError

    def rumours(self, now: float, count: int) -> list[SuspectSeen]:
        """Returns up to `count` entries to tell others, freshest first."""
        raise NotImplementedError
