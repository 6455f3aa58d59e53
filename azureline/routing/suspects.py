"""Quarantine of requests that crash the backend servers that run them.

Every signature in flight at a crash is a suspect: the content of a request,
or a part of its prompt.  Suspects run one at a time, in an order that all
nodes agree on, so that a further crash separates the signature that caused it
from those that were in flight beside it.  Nodes exchange their observations as
gossip entries, which merge in any order.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import heapq
import math

from azureline import requests
from azureline.core import errors
from azureline.routing import crash_history
from azureline.routing import failed_trials
from azureline.routing import rendezvous
from azureline.routing import server_calls
from azureline.routing import signatures
from azureline.routing import suspect_settings
from azureline.routing import verdicts

# Number of servers that the picker chooses among for one content.
_PAIR = 2
# A full table evicts this part (one in eight) of its entries at once.
_EVICTION_DIVISOR = 8


DEFAULTS = suspect_settings.Settings()


class SuspectTable:
    """One node's record of crash suspects.

    Attributes:
      is_careful: whether a content is a suspect after a single crash.
    """

    def __init__(self, settings: suspect_settings.Settings = DEFAULTS):
        """Creates an empty record.

        Args:
          settings: the settings.
        """
        self._settings = settings
        self._entries: dict[bytes, crash_history.SuspectEntry] = {}
        # Signatures by crash, in the order in which they were recorded, so
        # that messages do not depend on the hash seed.
        self._by_crash: dict[tuple[str, str], dict[bytes, None]] = {}
        self._calls = server_calls.ServerCalls()
        self._crashed_at: dict[str, float] = {}
        self._ungossiped: dict[bytes, None] = {}
        # Contents that earlier processes accused: what else these knew is lost.
        self._inherited: set[bytes] = set()
        self.is_careful = False

    @property
    def tolerated_crashes(self) -> int:
        """Number of crashes up to which a content is no suspect."""
        return self._settings.tolerated_crashes

    def check(
        self,
        wall: float,
        call: signatures.Call,
        replicas: Sequence[str],
        usable: Sequence[str],
        parts: Sequence[bytes] = (),
    ) -> verdicts.Verdict | errors.Refusal:
        """Decides whether and where a call may be sent.

        Args:
          wall: Unix time in seconds.
          call: the call to decide on.
          replicas: all servers of its model, including those that are down.
          usable: those servers that accept work.
          parts: signatures of the parts of its prompt.

        Returns:
          `Allowed`, `Quarantine` or `Wait`, or a `CRASH_SUSPECT` refusal with
          the seconds until the signature may be tried again.
        """
        candidates = (call.content, *parts)
        suspects = self.suspects_of(candidates)
        if not suspects:
            if (
                self.crash_count(call.content)
                or not self._settings.hold_new_contents
            ):
                return verdicts.Allowed()
            hold_until = self._hold_until(call.content, replicas)
            return (
                verdicts.Wait(hold_until)
                if hold_until > wall
                else verdicts.Allowed()
            )
        last = max(self.last_crash_at(signature) for signature in suspects)
        # Gossip about other signatures in the same crash may not have arrived.
        settled_at = last + self._settings.settle_s
        if wall < settled_at:
            return verdicts.Wait(settled_at)
        refused = self.find_refused(wall, candidates)
        if refused is not None:
            confirmed_at = self._confirmed_at(refused)
            if wall < confirmed_at:
                return verdicts.Wait(confirmed_at)
            return self._refuse(refused, wall)
        if not usable:
            return verdicts.Wait(wall + self._settings.settle_s)
        server = rendezvous.first_server(suspects[0], usable)
        start_at = self._start_at(call, suspects, server, usable)
        if wall < start_at:
            return verdicts.Wait(start_at)
        return verdicts.Quarantine(server, suspects)

    def suspects_of(self, candidates: Iterable[bytes]) -> tuple[bytes, ...]:
        """Returns the signatures that crashed servers more than tolerated."""
        return tuple(
            signature
            for signature in candidates
            if self.crash_count(signature) > self._tolerated(signature)
        )

    def inherit(self, entries: Iterable[crash_history.SuspectEntry]) -> None:
        """Makes suspects of contents that earlier processes accused.

        A single crash makes a suspect of them until a run clears them, since
        these processes may have been lost before they recorded another one.

        Args:
          entries: what the earlier processes have recorded.
        """
        self._inherited.update(
            entry.content
            for entry in entries
            if not signatures.is_part(entry.content)
            and entry.content not in self._entries
        )

    def _tolerated(self, signature: bytes) -> int:
        if signature in self._inherited:
            return 0
        if self.is_careful and not signatures.is_part(signature):
            return 0
        return self._settings.tolerated_crashes

    def find_refused(
        self, wall: float, candidates: Sequence[bytes]
    ) -> bytes | None:
        """Returns the first signature for which a call is refused, or None.

        Args:
          wall: Unix time in seconds.
          candidates: the signatures of the call that crashes accuse.
        """
        for signature in self.suspects_of(candidates):
            if (
                wall < self._refused_until(signature)
                and self._must_refuse(signature)
                and not self._is_excused(signature, candidates)
            ):
                return signature
        return None

    def started(self, server: str, call: requests.ModelCall) -> None:
        """Counts a call as in flight at a server."""
        self._calls.started(server, call)

    def finished(
        self,
        wall: float,
        server: str,
        call: requests.ModelCall,
        completed: bool,
        may_run: bool = False,
    ) -> None:
        """Ends a call in flight; a complete run clears its content.

        Args:
          wall: Unix time in seconds.
          server: name of the backend server.
          call: the call.
          completed: whether the server ran it to its end.
          may_run: whether the server may still run it.
        """
        self._calls.finished(wall, server, call, may_run)
        entry = self._entries.get(call.content)
        if completed and entry is not None:
            self._merge(entry._replace(cleared=wall))

    def crashed(
        self, wall: float, server: str, incarnation: str
    ) -> tuple[requests.ModelCall, ...]:
        """Makes suspects of all calls that a crashed server may have run.

        Args:
          wall: Unix time in seconds.
          server: name of the backend server.
          incarnation: the incarnation that crashed.

        Returns:
          Those in flight, which no longer count as such.  Each needs another
          `check` before it is sent again.
        """
        self._crashed_at[server] = wall
        calls = self._calls.take_in_flight(server)
        unfinished = self._calls.take_unfinished(wall, server)
        crash = crash_history.Crash(server, incarnation, wall)
        for call in (*calls, *unfinished):
            entry = crash_history.SuspectEntry(
                call.content, call.model, (crash,), 0.0
            )
            self._merge(entry)
        return calls

    def crash_count(self, signature: bytes) -> int:
        """Returns the number of crashes since a signature was last cleared."""
        return len(self._effective(signature))

    def last_crash_at(self, signature: bytes) -> float:
        """Returns the Unix time of a signature's last crash, or 0."""
        return max((c.at for c in self._effective(signature)), default=0.0)

    def accuses(self, signature: bytes, server: str, incarnation: str) -> bool:
        """Returns whether a server's crash accuses a signature."""
        entry = self._entries.get(signature)
        return entry is not None and any(
            crash[:2] == (server, incarnation) for crash in entry.crashes
        )

    def merge(
        self,
        entries: Iterable[crash_history.SuspectEntry],
        wall: float = math.inf,
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

    def take_changes(self, count: int) -> list[crash_history.SuspectEntry]:
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

    def accused_entries(self) -> list[crash_history.SuspectEntry]:
        """Returns the suspects, and what was in flight at the same crashes."""
        accused = {
            content: None
            for suspect in self._entries
            if self.crash_count(suspect) > self._settings.tolerated_crashes
            for crash in self._effective(suspect)
            for content in self._by_crash[crash.server, crash.incarnation]
        }
        return [self._entries[c] for c in accused if self.crash_count(c)]

    def once_accused_entries(self) -> list[crash_history.SuspectEntry]:
        """Returns the contents that crashes accuse, but not as suspects."""
        return [
            entry
            for content, entry in self._entries.items()
            if not signatures.is_part(content)
            and 0
            < self.crash_count(content)
            <= self._settings.tolerated_crashes
        ]

    def entries(self) -> list[crash_history.SuspectEntry]:
        """Returns all entries, for a node that has just started."""
        return list(self._entries.values())

    def expire(self, wall: float) -> None:
        """Removes contents without a recent crash, and crashes long cleared."""
        for content, entry in list(self._entries.items()):
            last = max((c.at for c in entry.crashes), default=0.0)
            keep_s = self._settings.retention_s
            if self._must_refuse(content):
                # The next trial is decided on the crashes of the earlier ones.
                keep_s += self._settings.refuse_cap_s
            else:
                keep_s += self._settings.refuse_s
            if wall - last > keep_s:
                self._forget(content)
                continue
            for crash in entry.crashes:
                if crash.at < entry.cleared - self._settings.retention_s:
                    self._unlink(content, crash)
        self._calls.expire(wall)
        oldest = wall - self._settings.settle_s
        self._crashed_at = {
            server: at
            for server, at in self._crashed_at.items()
            if at >= oldest
        }

    def _confirmed_at(self, signature: bytes) -> float:
        """Returns the Unix time at which calls are refused for a signature.

        Until then, trials of other prompts may clear a part that they share.
        """
        settings = self._settings
        confirm_s = settings.part_confirm_s * signatures.is_part(signature)
        return self.last_crash_at(signature) + settings.settle_s + confirm_s

    def _refuse(self, signature: bytes, wall: float) -> errors.Refusal:
        common = (
            "a part of this prompt"
            if signatures.is_part(signature)
            else "this content"
        )
        crashes = self.crash_count(signature)
        return errors.Refusal(
            errors.ErrorKind.CRASH_SUSPECT,
            f"{crashes} backend servers crashed while running {common}",
            self._refused_until(signature) - wall,
        )

    def _refused_until(self, signature: bytes) -> float:
        """Returns the Unix time until which a signature may be refused."""
        return failed_trials.refused_until(
            self._effective(signature), self._settings
        )

    def _effective(self, content: bytes) -> tuple[crash_history.Crash, ...]:
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

    def _must_refuse(self, signature: bytes) -> bool:
        settings, crashes = self._settings, self._effective(signature)
        failed = failed_trials.select(crashes, settings)
        if signatures.is_part(signature):
            enough = len(crashes) >= settings.part_refusal_crashes
            return enough and len(failed) >= settings.part_refusal_trials
        if len(failed) >= settings.refusal_trials:
            return True
        return len(crashes) >= settings.refusal_crashes and any(
            self._only_suspect(signature, crash) for crash in failed
        )

    def _is_excused(self, signature: bytes, present: Sequence[bytes]) -> bool:
        """Returns whether parts that a prompt lacks explain a part's crashes.

        A part with more crashes explains a failed trial in any case, so that
        what is left may be a single crash with another cause.  Any other part
        that was not cleared since may explain it too.  After more failed
        trials most of them need another suspect: some parts belong to one
        session and do not come again, so that nothing clears them.

        Args:
          signature: a signature of the call.
          present: all signatures of the call that crashes accuse.
        """
        if not signatures.is_part(signature):
            return False
        settings, crashes = self._settings, self._effective(signature)
        others = [
            self._most_crashes_beside(signature, crash, present)
            for crash in failed_trials.select(crashes, settings)
        ]
        blamed = sum(most <= len(crashes) for most in others)
        if blamed < settings.part_refusal_trials:
            return True
        if not all(others):
            return False
        lone = sum(most <= settings.tolerated_crashes for most in others)
        trials = settings.part_excuse_trials
        return len(others) < trials or lone * trials <= len(others)

    def _most_crashes_beside(
        self,
        signature: bytes,
        crash: crash_history.Crash,
        present: Sequence[bytes],
    ) -> int:
        """Returns the most crashes of a part beside one, but those present."""
        counts = [
            self.crash_count(other)
            for other in self._parts_beside(signature, crash)
            if other not in present
        ]
        return max(counts, default=0)

    def _parts_beside(
        self, signature: bytes, crash: crash_history.Crash
    ) -> Iterator[bytes]:
        """Yields the other parts that a crash accuses."""
        key = (crash.server, crash.incarnation)
        for other in self._by_crash.get(key, ()):
            if other == signature or not signatures.is_part(other):
                continue
            if any(c[:2] == key for c in self._effective(other)):
                yield other

    def _only_suspect(self, content: bytes, crash: crash_history.Crash) -> bool:
        """Returns whether no other earlier suspect was in flight at a crash."""
        key = (crash.server, crash.incarnation)
        return not any(
            other != content and self._was_suspect(other, crash)
            for other in self._by_crash.get(key, ())
        )

    def _was_suspect(self, content: bytes, crash: crash_history.Crash) -> bool:
        return any(c.at < crash.at for c in self._effective(content))

    def _start_at(
        self,
        call: signatures.Call,
        suspects: Sequence[bytes],
        server: str,
        usable: Sequence[str],
    ) -> float:
        """Returns the Unix time at which a suspect may run on its server.

        Calls with more suspected parts start later: one with fewer clears
        those parts that are not the cause.  Suspected contents of the same
        model run on one server in the order of their digests, which is the
        same on all nodes.  Each earlier one delays the call by `quarantine_s`,
        unless it was cleared or is refused.
        """
        settings = self._settings
        last = max(self.last_crash_at(signature) for signature in suspects)
        parts = sum(signatures.is_part(signature) for signature in suspects)
        start_at = last + settings.settle_s
        start_at += settings.ambiguity_s * max(0, parts - 1)
        if call.content not in suspects:
            return start_at
        ahead = 0
        for content, entry in self._entries.items():
            if entry.model != call.model or content >= call.content:
                continue
            if signatures.is_part(content) or self._must_refuse(content):
                continue
            if self.crash_count(content) <= settings.tolerated_crashes:
                continue
            if rendezvous.first_server(content, usable) == server:
                ahead += 1
        return start_at + ahead * settings.quarantine_s

    def _merge(self, entry: crash_history.SuspectEntry) -> None:
        old = self._entries.get(entry.content)
        merged = crash_history.union(entry if old is None else old, entry)
        if merged == old:
            return
        self._entries[entry.content] = merged
        self._ungossiped[entry.content] = None
        if not self._effective(entry.content):
            self._inherited.discard(entry.content)
        for crash in merged.crashes:
            key = (crash.server, crash.incarnation)
            self._by_crash.setdefault(key, {})[entry.content] = None
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
        for crash in self._entries[content].crashes:
            self._unlink(content, crash)
        del self._entries[content]
        self._ungossiped.pop(content, None)
        self._inherited.discard(content)

    def _unlink(self, content: bytes, crash: crash_history.Crash) -> None:
        entry = self._entries[content]
        crashes = tuple(c for c in entry.crashes if c != crash)
        self._entries[content] = entry._replace(crashes=crashes)
        key = (crash.server, crash.incarnation)
        self._by_crash[key].pop(content, None)
        if not self._by_crash[key]:
            del self._by_crash[key]
