"""Crashes of backend servers by what was in flight at them, as gossip."""

from typing import NamedTuple


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


def union(a: SuspectEntry, b: SuspectEntry) -> SuspectEntry:
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
