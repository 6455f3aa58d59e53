"""Quarantine of requests that crash the backend servers that run them.

Every content in flight at a crash is a suspect.  Suspects run one at a time
per server, in an order that all nodes agree on, so that a second crash
separates the content that caused it from those that ran beside it.  Nodes
exchange their observations as gossip entries, which merge in any order.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import heapq
import math
from typing import NamedTuple
from typing import Protocol

from azureline import requests
from azureline.core import errors
from azureline.routing import rendezvous

# Number of servers that the picker chooses among for one content.
_PAIR = 2
# A full table evicts this part (one in eight) of its entries at once.
_EVICTION_DIVISOR = 8


class Call(Protocol):
    """The attributes of a call that the decision uses."""

    @property
    def content(self) -> bytes:
        """Digest that identifies the call and its copies."""

    @property
    def model(self) -> str:
        """Name of the model or service whose servers the call runs on."""


class Crash(NamedTuple):
    """One crash of a backend server.

    Attributes:
      server: name of the backend server.
      incarnation: the incarnation that crashed; with the server's name it
        identifies the crash.
      at: Unix time in seconds at which the crash was observed.
    """

    server: str
    incarnation: str
    at: float


class SuspectEntry(NamedTuple):
    """A gossip entry: the crash history of one content.

    A merge takes the union of the crashes and the later `cleared`, so entries
    may arrive repeatedly, late and in any order.

    Attributes:
      content: digest of the request's content.
      model: name of its model.
      crashes: crashes with this content in flight.
      cleared: Unix time in seconds of the latest complete run, or 0.
    """

    content: bytes
    model: str
    crashes: tuple[Crash, ...]
    cleared: float


class Settings(NamedTuple):
    """Settings of the detection of crashing requests.

    Attributes:
      settle_s: seconds for which suspects wait after a crash, so that other
        nodes' gossip about it arrives.
      quarantine_s: seconds that a suspect has on its server before the next
        suspect may run there.
      refusal_crashes: number of crashes after which a content is refused,
        if no other earlier suspect was in flight at one of its crashes after
        the first.
      certain_refusal_crashes: number of crashes after which a content is
        refused in any case.
      refuse_s: seconds of the first refusal; each further crash doubles it.
      refuse_cap_s: longest refusal in seconds.
      retention_s: seconds after its last crash for which a suspect is
        remembered, in addition to the time for which it would be refused.
      max_entries: maximum number of remembered contents.
      tolerated_crashes: number of crashes up to which a suspect runs like any
        other content.
      hold_new_contents: whether contents that are not suspects wait for gossip
        after a crash of one of their first servers.
    """

    settle_s: float = 2.0
    quarantine_s: float = 5.0
    refusal_crashes: int = 2
    certain_refusal_crashes: int = 5
    refuse_s: float = 600.0
    refuse_cap_s: float = 86400.0
    retention_s: float = 900.0
    max_entries: int = 4096
    tolerated_crashes: int = 0
    hold_new_contents: bool = True


DEFAULTS = Settings()


class Allowed(NamedTuple):
    """The call may run on any server."""


class Quarantine(NamedTuple):
    """The call is a suspect and may run now, on one server only.

    Attributes:
      server: name of that server.
    """

    server: str


class Wait(NamedTuple):
    """The call must wait before the next check.

    Attributes:
      until: Unix time in seconds at which to check it again.
    """

    until: float


class SuspectTable:
    """One node's record of crash suspects."""

    def __init__(self, settings: Settings = DEFAULTS):
        """Creates an empty record.

        Args:
          settings: the settings.
        """
        self._settings = settings
        self._entries: dict[bytes, SuspectEntry] = {}
        self._by_crash: dict[tuple[str, str], set[bytes]] = {}
        self._in_flight: dict[str, dict[str, requests.ModelCall]] = {}
        self._crashed_at: dict[str, float] = {}
        self._ungossiped: dict[bytes, None] = {}

    def check(
        self,
        wall: float,
        call: Call,
        replicas: Sequence[str],
        usable: Sequence[str],
    ) -> Allowed | Quarantine | Wait | errors.Refusal:
        """Decides whether and where a call may be sent.

        Args:
          wall: Unix time in seconds.
          call: the call to decide on.
          replicas: all servers of its model, including those that are down.
          usable: those servers that accept work.

        Returns:
          `Allowed`, `Quarantine` or `Wait`, or a `CRASH_SUSPECT` refusal with
          the seconds until the content may be tried again.
        """
        crashes = self._effective(call.content)
        if len(crashes) <= self._settings.tolerated_crashes:
            if crashes or not self._settings.hold_new_contents:
                return Allowed()
            hold_until = self._hold_until(call.content, replicas)
            return Wait(hold_until) if hold_until > wall else Allowed()
        last = max(crash.at for crash in crashes)
        # Gossip about other contents in the same crash may not have arrived.
        settled_at = last + self._settings.settle_s
        if wall < settled_at:
            return Wait(settled_at)
        if self._must_refuse(call.content, crashes):
            refused_until = last + self._refusal_s(len(crashes))
            if wall < refused_until:
                return self._refuse(len(crashes), refused_until - wall)
        if not usable:
            return Wait(wall + self._settings.settle_s)
        server = rendezvous.first_server(call.content, usable)
        start_at = self._start_at(call, last, server, usable)
        return Quarantine(server) if wall >= start_at else Wait(start_at)

    def started(self, server: str, call: requests.ModelCall) -> None:
        """Counts a call as in flight at a server."""
        self._in_flight.setdefault(server, {})[call.request_id] = call

    def finished(
        self,
        wall: float,
        server: str,
        call: requests.ModelCall,
        completed: bool,
    ) -> None:
        """Ends a call in flight; a complete run clears its content."""
        self._in_flight.get(server, {}).pop(call.request_id, None)
        entry = self._entries.get(call.content)
        if completed and entry is not None:
            self._merge(entry._replace(cleared=wall))

    def crashed(
        self, wall: float, server: str, incarnation: str
    ) -> tuple[requests.ModelCall, ...]:
        """Makes suspects of all calls in flight at a server that crashed.

        Args:
          wall: Unix time in seconds.
          server: name of the backend server.
          incarnation: the incarnation that crashed.

        Returns:
          Those calls, which no longer count as in flight.  Each needs another
          `check` before it is sent again.
        """
        self._crashed_at[server] = wall
        calls = tuple(self._in_flight.pop(server, {}).values())
        crash = Crash(server, incarnation, wall)
        for call in calls:
            entry = SuspectEntry(call.content, call.model, (crash,), 0.0)
            self._merge(entry)
        return calls

    def crash_count(self, content: bytes) -> int:
        """Returns the number of crashes since a content's last full run."""
        return len(self._effective(content))

    def merge(
        self, entries: Iterable[SuspectEntry], wall: float = math.inf
    ) -> None:
        """Merges gossip entries of other nodes.

        Args:
          entries: the entries.
          wall: Unix time in seconds.  Later times in an entry are reduced to
            it, so that a node whose clock is ahead does not delay requests.
        """
        for entry in entries:
            crashes = tuple(
                crash._replace(at=min(crash.at, wall))
                for crash in entry.crashes
            )
            cleared = min(entry.cleared, wall)
            self._merge(entry._replace(crashes=crashes, cleared=cleared))
            for server, _, at in crashes:
                known = self._crashed_at.get(server, 0.0)
                self._crashed_at[server] = max(known, at)

    def take_changes(self, count: int) -> list[SuspectEntry]:
        """Removes and returns up to `count` changed entries to gossip.

        Entries with the most crashes come first.
        """
        changed = [
            self._entries[c] for c in self._ungossiped if c in self._entries
        ]
        changed.sort(key=lambda entry: -len(entry.crashes))
        for entry in changed[:count]:
            del self._ungossiped[entry.content]
        return changed[:count]

    def entries(self) -> list[SuspectEntry]:
        """Returns all entries, for a node that has just started."""
        return list(self._entries.values())

    def expire(self, wall: float) -> None:
        """Removes contents without a recent crash."""
        for content, entry in list(self._entries.items()):
            last = max((c.at for c in entry.crashes), default=0.0)
            count = len(entry.crashes)
            keep_s = self._settings.retention_s + self._refusal_s(count)
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
        extra_crashes = max(0, crashes - self._settings.refusal_crashes)
        seconds = self._settings.refuse_s * 2.0 ** min(extra_crashes, 30)
        return min(seconds, self._settings.refuse_cap_s)

    def _effective(self, content: bytes) -> tuple[Crash, ...]:
        """Returns the crashes since the content's last complete run."""
        entry = self._entries.get(content)
        if entry is None:
            return ()
        return tuple(c for c in entry.crashes if c.at > entry.cleared)

    def _hold_until(self, content: bytes, replicas: Sequence[str]) -> float:
        """Returns the time until which a new content waits for gossip.

        If one of the content's first servers has just crashed, a copy that
        another node sent may have been in flight there.
        """
        if not self._crashed_at:
            return 0.0
        pair = rendezvous.ordered_servers(content, replicas)[:_PAIR]
        latest = max((self._crashed_at.get(s, 0.0) for s in pair), default=0.0)
        return latest + self._settings.settle_s

    def _must_refuse(self, content: bytes, crashes: Sequence[Crash]) -> bool:
        if len(crashes) >= self._settings.certain_refusal_crashes:
            return True
        if len(crashes) < self._settings.refusal_crashes:
            return False
        repeats = sorted(crashes, key=lambda c: c.at)[1:]
        return any(self._only_suspect(content, crash) for crash in repeats)

    def _only_suspect(self, content: bytes, crash: Crash) -> bool:
        """Returns whether no other earlier suspect was in flight at a crash."""
        key = (crash.server, crash.incarnation)
        return not any(
            other != content and self._was_suspect(other, crash)
            for other in self._by_crash.get(key, ())
        )

    def _was_suspect(self, content: bytes, crash: Crash) -> bool:
        return any(c.at < crash.at for c in self._effective(content))

    def _start_at(
        self,
        call: Call,
        last: float,
        server: str,
        usable: Sequence[str],
    ) -> float:
        """Returns the Unix time at which a suspect may run on its server.

        Suspects of the same model run on one server in the order of their
        digests, which is the same on all nodes.  Each earlier one delays the
        suspect by `quarantine_s`, unless it was cleared or is refused.
        """
        ahead = 0
        for content, entry in self._entries.items():
            if entry.model != call.model or content >= call.content:
                continue
            crashes = self._effective(content)
            exempt = len(crashes) <= self._settings.tolerated_crashes
            if exempt or self._must_refuse(content, crashes):
                continue
            if rendezvous.first_server(content, usable) == server:
                ahead += 1
        return (
            last + self._settings.settle_s + ahead * self._settings.quarantine_s
        )

    def _merge(self, entry: SuspectEntry) -> None:
        old = self._entries.get(entry.content)
        merged = _union(entry if old is None else old, entry)
        if merged == old:
            return
        self._entries[entry.content] = merged
        self._ungossiped[entry.content] = None
        for crash in merged.crashes:
            key = (crash.server, crash.incarnation)
            self._by_crash.setdefault(key, set()).add(entry.content)
        if len(self._entries) > self._settings.max_entries:
            self._evict_least_suspect()

    def _evict_least_suspect(self) -> None:
        """Evicts the contents with the fewest crashes.

        It evicts many at once, since it scans the whole table.
        """
        count = max(1, self._settings.max_entries // _EVICTION_DIVISOR)
        for content in heapq.nsmallest(
            count, self._entries, key=self._priority
        ):
            self._forget(content)

    def _priority(self, content: bytes) -> tuple[int, float]:
        crashes = self._effective(content)
        return len(crashes), max((c.at for c in crashes), default=0.0)

    def _forget(self, content: bytes) -> None:
        entry = self._entries.pop(content)
        self._ungossiped.pop(content, None)
        for crash in entry.crashes:
            key = (crash.server, crash.incarnation)
            self._by_crash[key].discard(content)
            if not self._by_crash[key]:
                del self._by_crash[key]


def _union(a: SuspectEntry, b: SuspectEntry) -> SuspectEntry:
    """Returns the merge of two gossip entries about one content."""
    crashes: dict[tuple[str, str], Crash] = {}
    for crash in (*a.crashes, *b.crashes):
        key = (crash.server, crash.incarnation)
        known = crashes.get(key, crash)
        crashes[key] = min(known, crash)
    return a._replace(
        crashes=tuple(sorted(crashes.values())),
        cleared=max(a.cleared, b.cleared),
    )
