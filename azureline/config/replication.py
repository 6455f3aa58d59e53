"""Decides which version of the configuration is in force on a node.

Nodes replicate versions: a node offers the version that it has in force, and a
peer with an older one pulls the deltas.  A node never replaces a version by a
lower one.  A node that starts without a configuration puts a version in force
only if the platform's service holds it or, while the service is down, if a
majority of the nodes that it knows have reported theirs and none is higher.
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

QUERY_INTERVAL_S = 1.0
QUERIES_PER_ROUND = 16
PULL_TIMEOUT_S = 1.0
MAX_OFFERS = 8

Reader = Callable[[delta.Document], schema.Configuration | problems.Invalid]
Messages = list[messages.Outgoing]


class ConfigReplica:
    """Replicates the configuration on one node and decides what is in force."""

    def __init__(self, rng: random.Random, reader: Reader | None = None):
        """Creates a replica without a configuration.

        Args:
          rng: source of randomness.
          reader: converts a document to its typed form; None selects that of
            the configuration.
        """
        self._rng = rng
        self._reader = reader or reader_lib.Reader().read
        self._nonce = rng.getrandbits(63)
        self._peers: frozenset[str] = frozenset()
        self._peers_to_query: list[str] = []
        self._next_query_at = 0.0
        self._reported_versions: dict[str, int] = {}
        self._held: version.Accepted | None = None
        self._configuration: schema.Configuration | None = None
        self._is_in_force = False
        self._deltas = delta_log.DeltaLog()
        self._encoded = b""
        self._unreadable_version = 0
        self._offered_versions: dict[str, int] = {}
        self._pull_deadline = 0.0
        self._counts: collections.Counter[str] = collections.Counter()

    @property
    def in_force(self) -> version.Accepted | None:
        """The version in force, or None while the node must not serve."""
        return self._held if self._is_in_force else None

    @property
    def configuration(self) -> schema.Configuration | None:
        """The typed form of the version in force, or None."""
        return self._configuration if self._is_in_force else None

    @property
    def offer(self) -> messages.Offer | None:
        """The offer to send to peers periodically; None without a version."""
        current = self.in_force
        return (
            messages.Offer(current.version, current.digest) if current else None
        )

    def take_counts(self) -> dict[str, int]:
        """Returns the counts since the last call, by metric name."""
        counts, self._counts = self._counts, collections.Counter()
        return dict(counts)

    def set_peers(self, now: float, peers: frozenset[str]) -> None:
        """Sets the other nodes that are known, from all sources together.

        Args:
          now: monotonic time in seconds.
          peers: names of the other nodes.
        """
        self._peers = peers
        self._confirm_by_majority()

    def tick(self, now: float) -> Messages:
        """Returns the version queries and repeated pulls that are due.

        Args:
          now: monotonic time in seconds.
        """
        return self._query_peers(now) + self._pull(now)

    def on_message(
        self, now: float, peer: str, message: messages.Message
    ) -> Messages:
        """Handles a message from another node.

        Args:
          now: monotonic time in seconds.
          peer: name of the sender.
          message: the message.

        Returns:
          The messages to send.
        """
        match message:
            case messages.Offer(number, digest):
                return self.on_offer(now, peer, number, digest)
            case messages.VersionQuery(nonce):
                return [messages.Outgoing(peer, self._version_reply(nonce))]
            case messages.VersionReply():
                return self.on_version_reply(now, peer, message)
            case messages.Pull():
                return [messages.Outgoing(peer, self.on_pull(message))]
            case messages.DeltaBatch(deltas):
                return self.on_deltas(now, peer, deltas)
            case messages.FullConfiguration(value):
                return self.on_full(now, peer, value)
            case messages.NothingNewer():
                return self._on_fruitless_pull(now, peer)

    def on_offer(
        self, now: float, peer: str, number: int, digest: str
    ) -> Messages:
        """Pulls an offered version if it is newer than the held one."""
        if not self._is_newer(number, digest):
            return []
        self._offered_versions[peer] = number
        if len(self._offered_versions) > MAX_OFFERS:
            del self._offered_versions[
                min(self._offered_versions, key=self._offered_versions.get)
            ]
        return self._pull(now)

    def on_version_reply(
        self, now: float, peer: str, reply: messages.VersionReply
    ) -> Messages:
        """Records which version a peer reports to have in force."""
        if reply.nonce != self._nonce or not reply.version:
            return []
        self._reported_versions[peer] = reply.version
        self._confirm_by_majority()
        return self.on_offer(now, peer, reply.version, reply.digest)

    def on_pull(
        self, pull: messages.Pull
    ) -> (
        messages.DeltaBatch | messages.FullConfiguration | messages.NothingNewer
    ):
        """Returns deltas or the whole configuration, whichever is shorter."""
        current = self.in_force
        if current is None or pull.version >= current.version:
            return messages.NothingNewer(current.version if current else 0)
        self._encoded = self._encoded or version.encode(current)
        chain = self._deltas.chain(pull.version, current.version)
        if chain and sum(len(d.edits) for d in chain) < len(self._encoded):
            return messages.DeltaBatch(tuple(chain))
        return messages.FullConfiguration(self._encoded)

    def on_deltas(
        self, now: float, peer: str, deltas: tuple[messages.Delta, ...]
    ) -> Messages:
        """Applies deltas; pulls the whole document if one does not apply."""
        self._pull_deadline = now
        for step in deltas:
            number = self._held.version if self._held else 0
            if step.version <= max(number, self._unreadable_version):
                continue
            if not self._apply_delta(step):
                self._counts["config.delta_mismatch"] += 1
                self._pull_deadline = now + PULL_TIMEOUT_S
                return [messages.Outgoing(peer, messages.Pull(0, ""))]
        return self._pull(now)

    def on_full(self, now: float, peer: str, value: bytes) -> Messages:
        """Adopts a whole configuration."""
        self._pull_deadline = now
        try:
            accepted = version.decode(value)
        except delta.MalformedError:
            self._counts["config.malformed"] += 1
            return self._on_fruitless_pull(now, peer)
        if self._is_newer(accepted.version, accepted.digest):
            self._adopt(accepted)
        return self._pull(now)

    def on_stored(self, now: float, accepted: version.Accepted | None) -> None:
        """Adopts the version that the platform's service holds.

        Args:
          now: monotonic time in seconds.
          accepted: the version that was read; None if the service holds none.
        """
        number = self._held.version if self._held else 0
        found = accepted.version if accepted else 0
        if accepted is None and not number:
            return
        if found < number:
            self._counts["config.platform_behind"] += 1
            return
        if found == number and not self._is_in_force:
            self._discard_held()
        if self._is_newer(found, accepted.digest):
            self._adopt(accepted)
        if self._held and self._held.digest == accepted.digest:
            self._is_in_force = True

    def _discard_held(self) -> None:
        """Drops a version that came from peers and is not in force."""
        self._held = None
        self._deltas.clear()
        self._encoded = b""

    def _is_newer(self, number: int, digest: str) -> bool:
        if number <= self._unreadable_version:
            return False
        if self._held is None or number > self._held.version:
            return number > 0
        if number == self._held.version and digest != self._held.digest:
            self._counts["config.digest_mismatch"] += 1
        return False

    def _version_reply(self, nonce: int) -> messages.VersionReply:
        current = self.in_force
        if current is None:
            return messages.VersionReply(nonce, 0, "")
        return messages.VersionReply(nonce, current.version, current.digest)

    def _query_peers(self, now: float) -> Messages:
        if self._is_in_force or now < self._next_query_at:
            return []
        self._next_query_at = now + QUERY_INTERVAL_S
        if not self._peers_to_query:
            self._peers_to_query = sorted(
                self._peers, key=lambda p: p in self._reported_versions
            )
            self._rng.shuffle(self._peers_to_query)
        queried = self._peers_to_query[:QUERIES_PER_ROUND]
        del self._peers_to_query[:QUERIES_PER_ROUND]
        return [
            messages.Outgoing(p, messages.VersionQuery(self._nonce))
            for p in queried
        ]

    def _pull(self, now: float) -> Messages:
        """Starts a pull unless one is in progress."""
        number = self._held.version if self._held else 0
        self._offered_versions = {
            p: v for p, v in self._offered_versions.items() if v > number
        }
        if not self._offered_versions or now < self._pull_deadline:
            return []
        newest = max(self._offered_versions.values())
        peer = self._rng.choice(
            [p for p, v in self._offered_versions.items() if v == newest]
        )
        del self._offered_versions[peer]
        self._pull_deadline = now + PULL_TIMEOUT_S
        digest = self._held.digest if self._held else ""
        return [messages.Outgoing(peer, messages.Pull(number, digest))]

    def _on_fruitless_pull(self, now: float, peer: str) -> Messages:
        self._offered_versions.pop(peer, None)
        self._pull_deadline = now
        return self._pull(now)

    def _apply_delta(self, step: messages.Delta) -> bool:
        """Applies a delta; False if it does not fit the held version."""
        accepted = delta_log.apply_delta(self._held, step)
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
            self._unreadable_version = accepted.version
            return False
        if self._held:
            step = step or delta_log.compute_delta(self._held, accepted)
            self._deltas.add(step)
        self._held = accepted._replace(history=())
        self._encoded = b""
        self._configuration = configuration
        self._counts["config.adopted"] += 1
        self._confirm_by_majority()
        return True

    def _confirm_by_majority(self) -> None:
        """Puts the held version in force if a majority has nothing newer."""
        if self._held is None or self._is_in_force:
            return
        answers = [
            self._reported_versions[p]
            for p in self._peers & self._reported_versions.keys()
        ]
        if len(answers) <= len(self._peers) // 2:
            return
        self._is_in_force = self._held.version >= max(answers)
