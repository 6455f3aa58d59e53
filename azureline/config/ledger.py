"""Decides which version of the configuration is in force on a node.

Versions travel from node to node: a node offers what it has in force, and a
peer that has less pulls the deltas.  A version never gives way to a lower
one.  A node that starts with nothing goes into service only with a version
that the platform's service holds, or, while the service is down, with the
highest one among the answers of a majority of the nodes it knows.
"""

import collections
from collections.abc import Callable
import random

from azureline.config import delta
from azureline.config import delta_log
from azureline.config import messages
from azureline.config import problems
from azureline.config import reader as reader_lib
from azureline.config import schema
from azureline.config import version

ASK_INTERVAL_S = 1.0
ASKED_AT_ONCE = 16
PULL_TIMEOUT_S = 1.0
MAX_SOURCES = 8

Reader = Callable[[delta.Document], schema.Configuration | problems.Invalid]
Sends = list[messages.Send]


class ConfigLedger:
    """The versions that one node holds, serves and has in force."""

    def __init__(self, rng: random.Random, reader: Reader | None = None):
        """Creates a ledger that holds nothing.

        Args:
          rng: source of randomness.
          reader: turns a document into its typed form; None takes the
            configuration's own.
        """
        self._rng = rng
        self._reader = reader or reader_lib.Reader().read
        self._nonce = rng.getrandbits(63)
        self._peers: frozenset[str] = frozenset()
        self._to_ask: list[str] = []
        self._next_ask = 0.0
        self._answers: dict[str, int] = {}
        self._held: version.Accepted | None = None
        self._configuration: schema.Configuration | None = None
        self._in_service = False
        self._deltas = delta_log.DeltaLog()
        self._full = b""
        self._unreadable = 0
        self._sources: dict[str, int] = {}
        self._pull_until = 0.0
        self._counts: collections.Counter[str] = collections.Counter()

    @property
    def in_force(self) -> version.Accepted | None:
        """The version in force, or None while the node may not serve."""
        return self._held if self._in_service else None

    @property
    def configuration(self) -> schema.Configuration | None:
        """The typed form of the version in force, or None."""
        return self._configuration if self._in_service else None

    @property
    def offer(self) -> messages.Offer | None:
        """What to tell other nodes from time to time; None if nothing."""
        current = self.in_force
        return (
            messages.Offer(current.version, current.digest) if current else None
        )

    def take_counts(self) -> dict[str, int]:
        """Returns the counters since the last call, by metric name."""
        counts, self._counts = self._counts, collections.Counter()
        return dict(counts)

    def known(self, now: float, peers: frozenset[str]) -> None:
        """Says which other nodes there are, from all sources together.

        Args:
          now: monotonic time in seconds.
          peers: names of the other nodes.
        """
        self._peers = peers
        self._enter_by_majority()

    def tick(self, now: float) -> Sends:
        """Returns questions and repeated pulls that are due.

        Args:
          now: monotonic time in seconds.
        """
        return self._ask(now) + self._pull(now)

    def received(
        self, now: float, peer: str, message: messages.Message
    ) -> Sends:
        """Acts on a message from another node.

        Args:
          now: monotonic time in seconds.
          peer: name of the sender.
          message: what it sent.

        Returns:
          The messages to be sent.
        """
        match message:
            case messages.Offer(number, digest):
                return self.offered(now, peer, number, digest)
            case messages.Ask(nonce):
                return [messages.Send(peer, self._state(nonce))]
            case messages.State():
                return self.answered(now, peer, message)
            case messages.Pull():
                return [messages.Send(peer, self.pulled(message))]
            case messages.DeltaBatch(deltas):
                return self.deltas_received(now, peer, deltas)
            case messages.Full(value):
                return self.full_received(now, peer, value)
            case messages.NothingNewer():
                return self._pulled_in_vain(now, peer)

    def offered(self, now: float, peer: str, number: int, digest: str) -> Sends:
        """Pulls what a peer offers if it is newer than what is held."""
        if not self._is_newer(number, digest):
            return []
        self._sources[peer] = number
        if len(self._sources) > MAX_SOURCES:
            del self._sources[min(self._sources, key=self._sources.get)]
        return self._pull(now)

    def answered(self, now: float, peer: str, state: messages.State) -> Sends:
        """Notes which version a peer has in force."""
        if state.nonce != self._nonce or not state.version:
            return []
        self._answers[peer] = state.version
        self._enter_by_majority()
        return self.offered(now, peer, state.version, state.digest)

    def pulled(
        self, pull: messages.Pull
    ) -> messages.DeltaBatch | messages.Full | messages.NothingNewer:
        """Returns what a peer lacks, in the shorter form."""
        current = self.in_force
        if current is None or pull.version >= current.version:
            return messages.NothingNewer(current.version if current else 0)
        self._full = self._full or version.encode(current)
        chain = self._deltas.chain(pull.version, current.version)
        if chain and sum(len(d.edits) for d in chain) < len(self._full):
            return messages.DeltaBatch(tuple(chain))
        return messages.Full(self._full)

    def deltas_received(
        self, now: float, peer: str, deltas: tuple[messages.Delta, ...]
    ) -> Sends:
        """Takes up deltas; asks for the whole document if they do not fit."""
        self._pull_until = now
        for step in deltas:
            number = self._held.version if self._held else 0
            if step.version <= max(number, self._unreadable):
                continue
            if not self._take_step(step):
                self._counts["config.delta_mismatch"] += 1
                self._pull_until = now + PULL_TIMEOUT_S
                return [messages.Send(peer, messages.Pull(0, ""))]
        return self._pull(now)

    def full_received(self, now: float, peer: str, value: bytes) -> Sends:
        """Takes up a whole configuration."""
        self._pull_until = now
        try:
            accepted = version.decode(value)
        except delta.MalformedError:
            self._counts["config.malformed"] += 1
            return self._pulled_in_vain(now, peer)
        if self._is_newer(accepted.version, accepted.digest):
            self._adopt(accepted)
        return self._pull(now)

    def confirmed(self, now: float, accepted: version.Accepted | None) -> None:
        """Takes up what the platform's service holds.

        Args:
          now: monotonic time in seconds.
          accepted: what was read; None if the service holds nothing.
        """
        number = self._held.version if self._held else 0
        found = accepted.version if accepted else 0
        if accepted is None and not number:
            return
        if found < number:
            self._counts["config.platform_behind"] += 1
            return
        if found == number and not self._in_service:
            self._forget()
        if self._is_newer(found, accepted.digest):
            self._adopt(accepted)
        if self._held and self._held.digest == accepted.digest:
            self._in_service = True

    def _forget(self) -> None:
        """Drops what peers have said while nothing is in force."""
        self._held = None
        self._deltas.clear()
        self._full = b""

    def _is_newer(self, number: int, digest: str) -> bool:
        if number <= self._unreadable:
            return False
        if self._held is None or number > self._held.version:
            return number > 0
        if number == self._held.version and digest != self._held.digest:
            self._counts["config.digest_mismatch"] += 1
        return False

    def _state(self, nonce: int) -> messages.State:
        current = self.in_force
        if current is None:
            return messages.State(nonce, 0, "")
        return messages.State(nonce, current.version, current.digest)

    def _ask(self, now: float) -> Sends:
        if self._in_service or now < self._next_ask:
            return []
        self._next_ask = now + ASK_INTERVAL_S
        if not self._to_ask:
            self._to_ask = sorted(self._peers, key=lambda p: p in self._answers)
            self._rng.shuffle(self._to_ask)
        asked = self._to_ask[:ASKED_AT_ONCE]
        del self._to_ask[:ASKED_AT_ONCE]
        return [messages.Send(p, messages.Ask(self._nonce)) for p in asked]

    def _pull(self, now: float) -> Sends:
        """Starts a pull unless one is under way."""
        number = self._held.version if self._held else 0
        self._sources = {p: v for p, v in self._sources.items() if v > number}
        if not self._sources or now < self._pull_until:
            return []
        newest = max(self._sources.values())
        peer = self._rng.choice(
            [p for p, v in self._sources.items() if v == newest]
        )
        del self._sources[peer]
        self._pull_until = now + PULL_TIMEOUT_S
        digest = self._held.digest if self._held else ""
        return [messages.Send(peer, messages.Pull(number, digest))]

    def _pulled_in_vain(self, now: float, peer: str) -> Sends:
        self._sources.pop(peer, None)
        self._pull_until = now
        return self._pull(now)

    def _take_step(self, step: messages.Delta) -> bool:
        """Applies one step; False if it does not fit what is held."""
        accepted = delta_log.follow(self._held, step)
        if isinstance(accepted, delta.Mismatch):
            return False
        return self._adopt(accepted, step)

    def _adopt(
        self, accepted: version.Accepted, step: messages.Delta | None = None
    ) -> bool:
        """Holds a newer version; False if this program cannot read it."""
        configuration = self._reader(accepted.document)
        if isinstance(configuration, problems.Invalid):
            self._counts["config.unreadable"] += 1
            self._unreadable = accepted.version
            return False
        if self._held:
            step = step or delta_log.between(self._held, accepted)
            self._deltas.keep(step)
        self._held = accepted._replace(history=())
        self._full = b""
        self._configuration = configuration
        self._counts["config.adopted"] += 1
        self._enter_by_majority()
        return True

    def _enter_by_majority(self) -> None:
        """Goes into service if a majority has nothing newer than is held."""
        if self._held is None or self._in_service:
            return
        answers = [self._answers[p] for p in self._peers & self._answers.keys()]
        if len(answers) <= len(self._peers) // 2:
            return
        self._in_service = self._held.version >= max(answers)
