"""Requests that crash the backend servers that run them.

Every content in flight at a crash is a suspect.  Suspects run one at a time
per server, in an order that all nodes agree on, so that a second crash tells
the culprit from those that were only near it.  Nodes share what they have
seen as rumours that merge in any order.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import heapq
import math
from typing import NamedTuple
from typing import Protocol

from azureline import requests
from azureline.core import errors
from azureline.routing import affinity

_PAIR = 2
# A full table makes room for this part of its entries.
_ROOM_PART = 8


class Call(Protocol):
    """What a decision needs to know of a call."""

    @property
    def content(self) -> bytes:
        """Digest by which the call and its repeats are known."""

    @property
    def model(self) -> str:
        """Name of what its suspects share servers by."""


class Crash(NamedTuple):
    """One crash of a backend server.

    Attributes:
      server: name of the backend server.
      incarnation: the incarnation that died, which makes the crash unique.
      at: Unix time in seconds at which it was seen.
    """

    server: str
    incarnation: str
    at: float


class SuspectSeen(NamedTuple):
    """A rumour: what a node knows about one content.

    Merging takes the union of the crashes and the later time, so rumours may
    be repeated, late and in any order.

    Attributes:
      content: digest of the request's content.
      model: name of its model.
      crashes: crashes with this content in flight.
      cleared: Unix time in seconds of the latest whole run, or 0.
    """

    content: bytes
    model: str
    crashes: tuple[Crash, ...]
    cleared: float


class Settings(NamedTuple):
    """Settings of the watch for crashing requests.

    Attributes:
      settle_s: seconds after a crash in which suspects wait for rumours.
      lane_s: seconds after which a suspect's turn on its server passes on.
      convicting_crashes: crashes after which a content is refused, if it was
        the only suspect in one of them.
      ambiguous_crashes: crashes after which it is refused in any case.
      refuse_s: seconds of the first refusal; doubled by each further crash.
      refuse_cap_s: longest refusal in seconds.
      suspect_s: seconds after which a suspect without a crash is forgotten.
      entries: contents that are remembered at most.
      free_crashes: crashes up to which a suspect runs like any other content.
      hold_unheard: whether contents wait for rumours after a crash of one of
        their first servers.
    """

    settle_s: float = 2.0
    lane_s: float = 5.0
    convicting_crashes: int = 2
    ambiguous_crashes: int = 5
    refuse_s: float = 600.0
    refuse_cap_s: float = 86400.0
    suspect_s: float = 900.0
    entries: int = 4096
    free_crashes: int = 0
    hold_unheard: bool = True


DEFAULTS = Settings()


class Clear(NamedTuple):
    """The call is under no suspicion."""


class Quarantine(NamedTuple):
    """The call is a suspect and may run now, on one server only.

    Attributes:
      server: where to run it.
    """

    server: str


class Wait(NamedTuple):
    """The call must wait; ask again at a time.

    Attributes:
      until: Unix time in seconds at which to ask again.
    """

    until: float


class Suspects:
    """What one node knows about crashing requests."""

    def __init__(self, settings: Settings = DEFAULTS):
        """Creates an empty watch.

        Args:
          settings: the settings.
        """
        self._settings = settings
        self._known: dict[bytes, SuspectSeen] = {}
        self._by_crash: dict[tuple[str, str], set[bytes]] = {}
        self._in_flight: dict[str, dict[str, requests.ModelCall]] = {}
        self._crashed_at: dict[str, float] = {}
        self._changed: dict[bytes, None] = {}

    def check(
        self,
        wall: float,
        call: Call,
        replicas: Sequence[str],
        usable: Sequence[str],
    ) -> Clear | Quarantine | Wait | errors.Refusal:
        """Decides whether and where a call may be sent.

        Args:
          wall: Unix time in seconds.
          call: the generation.
          replicas: all servers of its model, also those that are down.
          usable: those that may be given work.
        """
        crashes = self._effective(call.content)
        if len(crashes) <= self._settings.free_crashes:
            if crashes or not self._settings.hold_unheard:
                return Clear()
            held = self._held_until(call.content, replicas)
            return Wait(held) if held > wall else Clear()
        last = max(crash.at for crash in crashes)
        # Who else was in the crash may still be under way as a rumour.
        settled = last + self._settings.settle_s
        if wall < settled:
            return Wait(settled)
        if self._convicted(call.content, crashes):
            free_at = last + self._refusal_s(len(crashes))
            if wall < free_at:
                return self._refuse(len(crashes), free_at - wall)
        if not usable:
            return Wait(wall + self._settings.settle_s)
        server = affinity.home(call.content, usable)
        turn = self._turn(call, last, server, usable)
        return Quarantine(server) if wall >= turn else Wait(turn)

    def started(self, server: str, call: requests.ModelCall) -> None:
        """Counts a call as in flight at a server."""
        self._in_flight.setdefault(server, {})[call.request_id] = call

    def finished(
        self, wall: float, server: str, call: requests.ModelCall, whole: bool
    ) -> None:
        """Ends a call in flight; a whole run clears its content."""
        self._in_flight.get(server, {}).pop(call.request_id, None)
        seen = self._known.get(call.content)
        if whole and seen is not None:
            self._merge(seen._replace(cleared=wall))

    def crashed(
        self, wall: float, server: str, incarnation: str
    ) -> tuple[requests.ModelCall, ...]:
        """Makes suspects of all calls in flight at a server that died.

        Args:
          wall: Unix time in seconds.
          server: name of the backend server.
          incarnation: the incarnation that died.

        Returns:
          Those calls; each is to be checked and sent again, or refused.
        """
        self._crashed_at[server] = wall
        calls = tuple(self._in_flight.pop(server, {}).values())
        crash = Crash(server, incarnation, wall)
        for call in calls:
            seen = SuspectSeen(call.content, call.model, (crash,), 0.0)
            self._merge(seen)
        return calls

    def crashes(self, content: bytes) -> int:
        """Returns the crashes since a content last ran whole."""
        return len(self._effective(content))

    def heard(
        self, rumours: Iterable[SuspectSeen], wall: float = math.inf
    ) -> None:
        """Merges what other nodes know.

        Args:
          rumours: what they know.
          wall: Unix time in seconds; no time in a rumour counts as later, so
            that a node whose clock is ahead holds nothing back.
        """
        for rumour in rumours:
            crashes = tuple(
                crash._replace(at=min(crash.at, wall))
                for crash in rumour.crashes
            )
            cleared = min(rumour.cleared, wall)
            self._merge(rumour._replace(crashes=crashes, cleared=cleared))
            for server, _, at in crashes:
                known = self._crashed_at.get(server, 0.0)
                self._crashed_at[server] = max(known, at)

    def rumours(self, count: int) -> list[SuspectSeen]:
        """Returns and forgets up to `count` changes to tell other nodes.

        Those with the most crashes come first.
        """
        changed = [self._known[c] for c in self._changed if c in self._known]
        changed.sort(key=lambda seen: -len(seen.crashes))
        for seen in changed[:count]:
            del self._changed[seen.content]
        return changed[:count]

    def everything(self) -> list[SuspectSeen]:
        """Returns all that is known, for a node that has just started."""
        return list(self._known.values())

    def expire(self, wall: float) -> None:
        """Forgets contents that have not crashed anything for long."""
        for content, seen in list(self._known.items()):
            last = max((c.at for c in seen.crashes), default=0.0)
            count = len(seen.crashes)
            keep_s = self._settings.suspect_s + self._refusal_s(count)
            if wall - last > keep_s:
                self._forget(content)
        oldest = wall - self._settings.settle_s
        self._crashed_at = {
            server: at
            for server, at in self._crashed_at.items()
            if at >= oldest
        }

    def _refuse(self, crashes: int, seconds: float) -> errors.Refusal:
        return errors.Refusal(
            errors.ErrorKind.CRASH_SUSPECT,
            f"{crashes} backend servers crashed while running this content",
            seconds,
        )

    def _refusal_s(self, crashes: int) -> float:
        over = max(0, crashes - self._settings.convicting_crashes)
        seconds = self._settings.refuse_s * 2.0 ** min(over, 30)
        return min(seconds, self._settings.refuse_cap_s)

    def _effective(self, content: bytes) -> tuple[Crash, ...]:
        """Returns the crashes since the content last ran whole."""
        seen = self._known.get(content)
        if seen is None:
            return ()
        return tuple(c for c in seen.crashes if c.at > seen.cleared)

    def _held_until(self, content: bytes, replicas: Sequence[str]) -> float:
        """Returns until when a new content waits for rumours.

        A copy may have been in flight, through another node, at a server
        that has just crashed, if that server is one of the content's first.
        """
        if not self._crashed_at:
            return 0.0
        pair = affinity.ordered(content, replicas)[:_PAIR]
        latest = max((self._crashed_at.get(s, 0.0) for s in pair), default=0.0)
        return latest + self._settings.settle_s

    def _convicted(self, content: bytes, crashes: Sequence[Crash]) -> bool:
        if len(crashes) >= self._settings.ambiguous_crashes:
            return True
        if len(crashes) < self._settings.convicting_crashes:
            return False
        repeats = sorted(crashes, key=lambda c: c.at)[1:]
        return any(self._only_suspect(content, crash) for crash in repeats)

    def _only_suspect(self, content: bytes, crash: Crash) -> bool:
        """Returns whether no other repeated suspect was in a crash."""
        key = (crash.server, crash.incarnation)
        return not any(
            other != content and self._was_suspect(other, crash)
            for other in self._by_crash.get(key, ())
        )

    def _was_suspect(self, content: bytes, crash: Crash) -> bool:
        return any(c.at < crash.at for c in self._effective(content))

    def _turn(
        self,
        call: Call,
        last: float,
        server: str,
        usable: Sequence[str],
    ) -> float:
        """Returns when a suspect may run on its server.

        Those that come before it on this server, in an order that all nodes
        share, hold it back for `lane_s` each unless they were cleared.
        """
        ahead = 0
        for content, seen in self._known.items():
            if seen.model != call.model or content >= call.content:
                continue
            crashes = self._effective(content)
            free = len(crashes) <= self._settings.free_crashes
            if free or self._convicted(content, crashes):
                continue
            if affinity.home(content, usable) == server:
                ahead += 1
        return last + self._settings.settle_s + ahead * self._settings.lane_s

    def _merge(self, rumour: SuspectSeen) -> None:
        old = self._known.get(rumour.content)
        merged = _union(rumour if old is None else old, rumour)
        if merged == old:
            return
        self._known[rumour.content] = merged
        self._changed[rumour.content] = None
        for crash in merged.crashes:
            key = (crash.server, crash.incarnation)
            self._by_crash.setdefault(key, set()).add(rumour.content)
        if len(self._known) > self._settings.entries:
            self._forget_least()

    def _forget_least(self) -> None:
        """Makes room for many contents at once, as it looks at all."""
        count = max(1, self._settings.entries // _ROOM_PART)
        for content in heapq.nsmallest(count, self._known, key=self._weight):
            self._forget(content)

    def _weight(self, content: bytes) -> tuple[int, float]:
        crashes = self._effective(content)
        return len(crashes), max((c.at for c in crashes), default=0.0)

    def _forget(self, content: bytes) -> None:
        seen = self._known.pop(content)
        self._changed.pop(content, None)
        for crash in seen.crashes:
            key = (crash.server, crash.incarnation)
            self._by_crash[key].discard(content)
            if not self._by_crash[key]:
                del self._by_crash[key]


def _union(a: SuspectSeen, b: SuspectSeen) -> SuspectSeen:
    """Returns what two rumours about one content say together."""
    crashes: dict[tuple[str, str], Crash] = {}
    for crash in (*a.crashes, *b.crashes):
        key = (crash.server, crash.incarnation)
        known = crashes.get(key, crash)
        crashes[key] = min(known, crash)
    return a._replace(
        crashes=tuple(sorted(crashes.values())),
        cleared=max(a.cleared, b.cleared),
    )
