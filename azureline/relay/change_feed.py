"""Change feed: a few nodes watch the store and forward changes to the others.

Calls to the store are expensive, and its rate limits grow more slowly than the
fleet.  Most nodes therefore receive changes from a watcher of their own failure
domain, within which traffic is free.  Each message says how long ago the store
confirmed it, as a watcher that is cut off from the store does not notice at
once.  A node whose last confirmation is too old follows the store itself.
"""

from collections.abc import Iterable
import enum
from typing import NamedTuple
import zlib

from azureline.platform import eras
from azureline.platform import store as store_lib
from azureline.relay import keys
from azureline.relay import messages
from azureline.relay import ranking

# Watchers per failure domain; the second is the backup of the first.
WATCHERS = 2
# Interval of the watchers' heartbeats.
HEARTBEAT_INTERVAL_S = 0.4
# Minimum interval between requests for missing changes. A reply takes a few
# milliseconds, so more frequent requests would only load the links.
MIN_REQUEST_INTERVAL_S = 0.2
# Age of the last confirmation at which a node follows the store itself. With
# the spread and a call to the store it stays below 2 s, the time within which a
# change must be in force. It covers a watch, a pause and a lost heartbeat.
CONFIRMATION_TIMEOUT_S = 1.1
# Spread over which the nodes of a domain turn to the store themselves, so that
# they do not do so all at once.
_ALONE_SPREAD_S = 0.3
# Maximum number of changes that a node keeps to resend them.
_MAX_LOG_ROWS = 500
# Maximum number of datagrams in reply to one request. The requester asks again
# for the rest, so that a burst does not fill the link of the watcher's VM.
_MAX_REPLY_FEEDS = 8
# Maximum number of keys that a listing may lack for its differences to be sent.
# They stay in one datagram; with more of them the receivers list the store.
_MAX_LISTING_REMOVALS = 60
# Maximum size of the rows in one datagram, in bytes, without its overhead.
_MAX_ROWS_BYTES = 1200


class Role(enum.Enum):
    """How a node receives changes of the store."""

    WATCHER = "watcher"  # Watches the store and sends changes to its domain.
    SECOND = "second"  # Backup: watches the store, sends changes on request.
    FED = "fed"  # Receives changes from a watcher.
    ALONE = "alone"  # Watches the store, as no watcher confirms its view.


class Roles:
    """Decides a node's role."""

    def __init__(self, node: str):
        """Creates the roles of a node that has received no heartbeat."""
        self._node = node
        self._confirmed_at = float("-inf")
        spread = ranking.rendezvous_hash("alone", node)
        self._timeout_s = CONFIRMATION_TIMEOUT_S + _ALONE_SPREAD_S * spread

    @property
    def alone_at(self) -> float:
        """Monotonic time in seconds at which a node that is fed turns alone."""
        return self._confirmed_at + self._timeout_s

    def confirmed(self, at: float) -> None:
        """Records what a watcher's message confirms.

        Args:
          at: monotonic time in seconds at which the store confirmed it.
        """
        self._confirmed_at = max(self._confirmed_at, at)

    def role(self, nodes: Iterable[keys.NodeRecord], now: float) -> Role:
        """Returns the role among the nodes of this failure domain.

        Nodes with fast links are preferred as watchers, as a watcher sends
        each change to all nodes of its domain.

        Args:
          nodes: the domain's nodes, including this one.
          now: monotonic time in seconds.
        """
        ordered = sorted(
            nodes,
            key=lambda n: (
                -n.link_mbps,
                -ranking.rendezvous_hash("watcher", n.name),
            ),
        )
        names = [node.name for node in ordered]
        if names[:1] == [self._node]:
            return Role.WATCHER
        if self._node in names[:WATCHERS]:
            return Role.SECOND
        return Role.FED if now < self.alone_at else Role.ALONE


class FeedRequestLimiter:
    """Limits the rate of requests for missing changes."""

    def __init__(self):
        self._sent_at = float("-inf")

    def may_send(self, now: float) -> bool:
        """Returns whether to send a request now, and records it as sent."""
        if now - self._sent_at < MIN_REQUEST_INTERVAL_S:
            return False
        self._sent_at = now
        return True


class Gap(NamedTuple):
    """Falsy sentinel: changes are missing.

    Attributes:
      after: revision after which changes are missing.
    """

    after: int

    def __bool__(self) -> bool:
        return False


def new_rows(
    feed: messages.Feed, revision: int
) -> tuple[messages.FeedRow, ...] | Gap:
    """Returns the new rows of a feed, or the gap before them.

    Args:
      feed: a message of the change feed.
      revision: revision up to which this node has all changes.
    """
    if feed.after > revision:
        return Gap(revision)
    return tuple(row for row in feed.rows if row.revision > revision)


class FeedLog:
    """Recent changes, kept to resend them to other nodes."""

    def __init__(self):
        self._rows: list[messages.FeedRow] = []
        self._complete_after: int | None = None
        # Positions of earlier eras up to which the log is complete.
        self._era_ends: dict[int, int] = {}
        self.last_revision = 0

    def reset(self, revision: int) -> None:
        """Clears the log after a listing at a revision."""
        self._rows = []
        self._era_ends = {}
        self._complete_after = self.last_revision = revision

    def add_listing(
        self,
        known: dict[str, store_lib.Item],
        items: dict[str, store_lib.Item],
        revision: int,
    ) -> None:
        """Adds what a listing changes in the items known before.

        Args:
          known: the items before it, by key.
          items: the items of the listing, by key.
          revision: its revision.
        """
        removed = [
            store_lib.Deleted(key, revision) for key in known.keys() - items
        ]
        if self._complete_after is None or len(removed) > _MAX_LISTING_REMOVALS:
            self.reset(revision)
            return
        before = eras.era_of(self.last_revision)
        if before != eras.era_of(revision):
            self._era_ends[before] = self.last_revision
        # The next watch returns what was written during the listing.
        changed = [
            item
            for key, item in items.items()
            if item.revision <= revision
            and (key not in known or known[key].value != item.value)
        ]
        changed.sort(key=lambda item: item.revision)
        self.add([*changed, *removed], revision)

    def add(
        self,
        events: Iterable[store_lib.Item | store_lib.Deleted],
        upto: int,
    ) -> None:
        """Adds changes received from the store, up to a revision."""
        self.add_rows([_row(event) for event in events], upto)

    def add_rows(self, rows: Iterable[messages.FeedRow], upto: int) -> None:
        """Adds changes received from another node, up to a revision."""
        self._rows.extend(rows)
        self.last_revision = max(self.last_revision, upto)
        while len(self._rows) > _MAX_LOG_ROWS:
            self._complete_after = self._rows.pop(0).revision

    def after(self, revision: int) -> list[messages.Feed] | Gap:
        """Returns the changes after a revision, split into datagrams.

        Returns:
          The first datagrams, or a gap if the log does not reach back so far.
        """
        if self._complete_after is None or revision < self._complete_after:
            return Gap(revision)
        if revision > self._era_ends.get(eras.era_of(revision), revision):
            return Gap(revision)  # The store has forgotten changes after it.
        rows = [row for row in self._rows if row.revision > revision]
        return self._split(rows, revision)

    def _split(
        self, rows: list[messages.FeedRow], after: int
    ) -> list[messages.Feed]:
        feeds = []
        batch: list[messages.FeedRow] = []
        size = 0
        for row in rows:
            row_bytes = len(row.key) + len(row.value or b"") + 20
            # Rows of one revision stay in one datagram, so that a receiver has
            # a revision completely or not at all.
            new_revision = batch and row.revision != batch[-1].revision
            if new_revision and size + row_bytes > _MAX_ROWS_BYTES:
                upto = batch[-1].revision
                feeds.append(_feed(after, upto, batch))
                batch, size, after = [], 0, upto
            batch.append(row)
            size += row_bytes
        feeds.append(_feed(after, self.last_revision, batch))
        return feeds[:_MAX_REPLY_FEEDS]


def _feed(after: int, upto: int, rows: list[messages.FeedRow]) -> messages.Feed:
    return messages.Feed(after, upto, tuple(rows), 0, False)


def _row(event: store_lib.Item | store_lib.Deleted) -> messages.FeedRow:
    match event:
        case store_lib.Deleted():
            return messages.FeedRow(event.key, None, event.revision, True)
    packed: bytes | None = zlib.compress(event.value, 1)
    if packed is not None and len(packed) > _MAX_ROWS_BYTES:
        packed = None
    return messages.FeedRow(event.key, packed, event.revision, False)


def decompressed_value(row: messages.FeedRow) -> bytes | None:
    """Returns the decompressed value of a row, or None.

    It is None if the value was too large for the feed or cannot be
    decompressed.
    """
    if row.value is None:
        return None
    try:
        return zlib.decompress(row.value)
    except zlib.error:
        return None
