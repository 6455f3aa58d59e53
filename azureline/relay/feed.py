"""A few nodes watch the store and pass its changes on in their domain.

Calls to the store are dear and its rates grow more slowly than the fleet, so
most nodes learn of changes from a watcher of their failure domain, where bytes
cost nothing.  A node that hears no watcher asks the store itself.
"""

from collections.abc import Iterable
import enum
from typing import NamedTuple
import zlib

from azureline.platform import store as store_lib
from azureline.relay import keys
from azureline.relay import messages
from azureline.relay import placement

# Watchers of a failure domain; the second covers the first one's silence.
WATCHERS = 2
BEAT_S = 0.4
# An answer takes a few milliseconds; more questions would only fill links.
ASK_EVERY_S = 0.2
# Three heartbeats: datagrams get lost.
SILENT_S = 1.3
# Nodes of a domain do not turn to the store in the same moment.
_SPREAD_S = 0.6
# Changes that a watcher can tell again.
_LOG_ROWS = 500
# Datagrams that answer one question; the rest is asked for again, so that a
# burst does not fill the link of the watcher's VM.
_ANSWER_FEEDS = 8
# Rows of one datagram, in bytes; the rest of it is overhead.
_ROWS_BYTES = 1200


class Role(enum.Enum):
    """How a node learns of changes."""

    WATCHER = "watcher"  # Follows the store and passes changes on.
    SECOND = "second"  # Follows it, beats, and passes on what is asked for.
    FED = "fed"  # Learns from a watcher.
    ALONE = "alone"  # Follows the store, as no watcher is heard.


class Roles:
    """Decides a node's role."""

    def __init__(self, node: str):
        """Creates the decisions of a node that has heard nobody."""
        self._node = node
        self._heard_at = float("-inf")

    def heard(self, now: float) -> None:
        """Learns that a watcher whose store answers was heard."""
        self._heard_at = now

    def role(self, nodes: Iterable[keys.NodeRecord], now: float) -> Role:
        """Returns the role among the nodes of this failure domain.

        Nodes with fast links come first, as a watcher sends each change to
        all of its domain.

        Args:
          nodes: the domain's nodes, this one among them.
          now: monotonic time in seconds.
        """
        ordered = sorted(
            nodes,
            key=lambda n: (-n.link_mbps, -placement.rank("watcher", n.name)),
        )
        names = [node.name for node in ordered]
        if names[:1] == [self._node]:
            return Role.WATCHER
        if self._node in names[:WATCHERS]:
            return Role.SECOND
        spread_s = _SPREAD_S * placement.rank("alone", self._node)
        if now - self._heard_at > SILENT_S + spread_s:
            return Role.ALONE
        return Role.FED


class Asking:
    """Paces the questions for missing changes."""

    def __init__(self):
        self._asked_at = float("-inf")

    def may_ask(self, now: float) -> bool:
        """Returns whether to ask now, and counts that as asked."""
        if now - self._asked_at < ASK_EVERY_S:
            return False
        self._asked_at = now
        return True


class Gap(NamedTuple):
    """Falsy sentinel: changes are missing.

    Attributes:
      after: revision after which they are.
    """

    after: int

    def __bool__(self) -> bool:
        return False


def fresh_rows(
    feed: messages.Feed, revision: int
) -> tuple[messages.FeedRow, ...] | Gap:
    """Returns the rows of a feed that are new, or the gap before them.

    Args:
      feed: what a watcher tells.
      revision: revision up to which this node knows all changes.
    """
    if feed.after > revision:
        return Gap(revision)
    return tuple(row for row in feed.rows if row.revision > revision)


class FeedLog:
    """The last changes that a watcher has seen."""

    def __init__(self):
        self._rows: list[messages.FeedRow] = []
        self._oldest: int | None = None
        self.upto = 0

    def begin(self, revision: int) -> None:
        """Begins after a listing."""
        self._rows = []
        self._oldest = self.upto = revision

    def add(
        self,
        events: Iterable[store_lib.Item | store_lib.Removed],
        upto: int,
    ) -> None:
        """Adds changes up to a revision."""
        self.add_rows([_row(event) for event in events], upto)

    def add_rows(self, rows: Iterable[messages.FeedRow], upto: int) -> None:
        """Adds changes that another watcher told, up to a revision."""
        self._rows.extend(rows)
        self.upto = max(self.upto, upto)
        while len(self._rows) > _LOG_ROWS:
            self._oldest = self._rows.pop(0).revision

    def after(self, revision: int) -> list[messages.Feed] | Gap:
        """Returns the changes after a revision, in datagrams, or a gap."""
        if self._oldest is None or revision < self._oldest:
            return Gap(revision)
        rows = [row for row in self._rows if row.revision > revision]
        return self._cut(rows, revision)

    def _cut(
        self, rows: list[messages.FeedRow], after: int
    ) -> list[messages.Feed]:
        feeds = []
        batch: list[messages.FeedRow] = []
        size = 0
        for row in rows:
            row_bytes = len(row.key) + len(row.value or b"") + 20
            # Rows of one revision stay together: it is complete or not.
            new_revision = batch and row.revision != batch[-1].revision
            if new_revision and size + row_bytes > _ROWS_BYTES:
                upto = batch[-1].revision
                feeds.append(_feed(after, upto, batch))
                batch, size, after = [], 0, upto
            batch.append(row)
            size += row_bytes
        feeds.append(_feed(after, self.upto, batch))
        return feeds[:_ANSWER_FEEDS]


def _feed(after: int, upto: int, rows: list[messages.FeedRow]) -> messages.Feed:
    return messages.Feed(after, upto, tuple(rows), 0, False)


def _row(event: store_lib.Item | store_lib.Removed) -> messages.FeedRow:
    match event:
        case store_lib.Removed():
            return messages.FeedRow(event.key, None, event.revision, True)
    packed: bytes | None = zlib.compress(event.value, 1)
    if packed is not None and len(packed) > _ROWS_BYTES:
        packed = None
    return messages.FeedRow(event.key, packed, event.revision, False)


def value_of(row: messages.FeedRow) -> bytes | None:
    """Returns the value of a row; None if it was not passed on."""
    if row.value is None:
        return None
    try:
        return zlib.decompress(row.value)
    except zlib.error:
        return None
