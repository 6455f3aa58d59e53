"""The record of crash suspects in the platform's store, and its codec.

The record outlives the nodes.  Clocks of nodes differ, so it holds ages.
"""

from collections.abc import Iterable
from typing import NamedTuple

import msgpack

from azureline.routing import crash_history

# Bounds of the record, about 20 KB of suspects and 10 KB of contents that one
# crash accuses.
MAX_SUSPECTS = 64
MAX_ONCE_ACCUSED = 128
MAX_ENTRIES = MAX_SUSPECTS + MAX_ONCE_ACCUSED
# The oldest crashes of an entry tell since when it is a suspect, the newest
# whether trials failed.
_OLDEST_CRASHES = 3
_NEWEST_CRASHES = 5
_NEVER = -1


class Trial(NamedTuple):
    """A run of suspects that one node may make.

    Attributes:
      suspects: the signatures of the request.
      node: name of the node.
      at: monotonic time in seconds at which it was claimed.
      server: the only server that may run them, or "" if unknown.
      born_ms: the start of that server, Unix time in ms; 0 if unknown.
    """

    suspects: tuple[bytes, ...]
    node: str
    at: float
    server: str = ""
    born_ms: int = 0


class SuspectRecord(NamedTuple):
    """Crash suspects and the trials that were claimed.

    Attributes:
      entries: histories of the suspects.
      trials: the latest trials.
    """

    entries: tuple[crash_history.SuspectEntry, ...] = ()
    trials: tuple[Trial, ...] = ()


def select(
    suspects: Iterable[crash_history.SuspectEntry],
    once_accused: Iterable[crash_history.SuspectEntry] = (),
) -> tuple[crash_history.SuspectEntry, ...]:
    """Returns what the record holds of some histories.

    Args:
      suspects: histories of suspects, and of what was in flight beside them.
        If there are too many, those with the most crashes are kept.
      once_accused: histories of contents that are no suspects yet.  If there
        are too many, those with the newest crashes are kept.
    """
    trimmed = [_trim(entry) for entry in suspects]
    trimmed.sort(key=lambda entry: (-len(entry.crashes), entry.content))
    kept = trimmed[:MAX_SUSPECTS]
    present = {entry.content for entry in kept}
    others = [_trim(e) for e in once_accused if e.content not in present]
    others.sort(key=lambda entry: (-entry.crashes[-1].at, entry.content))
    return (*kept, *others[:MAX_ONCE_ACCUSED])


def _trim(entry: crash_history.SuspectEntry) -> crash_history.SuspectEntry:
    crashes = sorted(
        (c for c in entry.crashes if c.at > entry.cleared), key=lambda c: c.at
    )
    if len(crashes) > _OLDEST_CRASHES + _NEWEST_CRASHES:
        crashes = crashes[:_OLDEST_CRASHES] + crashes[-_NEWEST_CRASHES:]
    return entry._replace(crashes=tuple(crashes))


def encode(record: SuspectRecord, now: float) -> bytes:
    """Returns the encoded record.

    Args:
      record: the record.
      now: monotonic time in seconds.
    """
    entries = [
        [
            entry.content,
            entry.model,
            [[c.server, c.incarnation, _age(c.at, now)] for c in entry.crashes],
            _age(entry.cleared, now) if entry.cleared else _NEVER,
        ]
        for entry in record.entries
    ]
    trials = [
        [
            list(trial.suspects),
            trial.node,
            _age(trial.at, now),
            trial.server,
            trial.born_ms,
        ]
        for trial in record.trials
    ]
    return msgpack.packb([entries, trials])


def decode(value: bytes, now: float) -> SuspectRecord | None:
    """Returns the decoded record; None if it is malformed.

    Args:
      value: the encoded record.
      now: monotonic time in seconds; ages count from it.
    """
    try:
        entries, trials = msgpack.unpackb(value)
        return SuspectRecord(
            tuple(_entry(row, now) for row in entries[:MAX_ENTRIES]),
            tuple(_trial(row, now) for row in trials[:MAX_ENTRIES]),
        )
    except (
        ValueError,
        TypeError,
        AttributeError,
        msgpack.exceptions.UnpackException,
    ):
        return None


def _entry(row: list, now: float) -> crash_history.SuspectEntry:
    content, model, crashes, cleared_ms = row
    return crash_history.SuspectEntry(
        bytes(content),
        str(model),
        tuple(
            crash_history.Crash(str(server), str(start), now - age_ms / 1000)
            for server, start, age_ms in crashes
        ),
        0.0 if cleared_ms == _NEVER else now - cleared_ms / 1000,
    )


def _trial(row: list, now: float) -> Trial:
    suspects, node, age_ms, server, born_ms = row
    return Trial(
        tuple(map(bytes, suspects)),
        str(node),
        now - age_ms / 1000,
        str(server),
        int(born_ms),
    )


def _age(at: float, now: float) -> int:
    return max(0, int((now - at) * 1000))
