"""Reads and replaces the accepted configuration in the platform's service.

A change is one compare-and-swap of one key.  The value carries the identity
of the apply that wrote it.  If the answer to a write is lost, the applier reads
the key again and learns whether its own change, another one or none landed.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

from azureline.config import conflicts
from azureline.config import delta
from azureline.config import problems
from azureline.config import version
from azureline.platform import interface

MAX_ATTEMPTS = 8
RETRY_INTERVAL_S = 0.5

Sleep = Callable[[float], Awaitable[None]]
Recheck = Callable[[delta.Document], problems.Invalid | None]


class Stored(NamedTuple):
    """The content of the key in the service.

    Attributes:
      accepted: the accepted configuration, or None if there is none.
      entry_version: the service's own version of the key.
    """

    accepted: version.Accepted | None
    entry_version: int


class MalformedValue(NamedTuple):
    """Falsy sentinel: the stored value is not a configuration.

    Attributes:
      reason: why the value cannot be decoded.
    """

    reason: str

    def __bool__(self) -> bool:
        return False


class Request(NamedTuple):
    """A change that an operator requests.

    Attributes:
      document: the new plain configuration.
      author: name of the operator.
      identity: unique id of this request.
      expect: the version that the operator's files are based on; None stands
        for the current one, but then a change that reverts a recent one is a
        conflict.
      rebase: whether to apply the edits to a later version, provided that no
        path they change has changed since `expect`.
      above: number that the new version must exceed.
    """

    document: delta.Document
    author: str
    identity: str
    expect: int | None = None
    rebase: bool = False
    above: int = 0


class Applied(NamedTuple):
    """The change is accepted.

    Attributes:
      version: number of the version that the change made.
      current: the version that the service holds now; a later one if others
        have applied changes since.
      edits: the changes; empty if the service held the document already.
    """

    version: int
    current: version.Accepted
    edits: delta.Edits


class Unsettled(NamedTuple):
    """Falsy sentinel: the service gave no answer.

    Attributes:
      reason: the last failure.
      may_have_landed: whether the change may have been accepted.
    """

    reason: str
    may_have_landed: bool

    def __bool__(self) -> bool:
        return False


Outcome = (
    Applied
    | conflicts.Conflict
    | Unsettled
    | MalformedValue
    | version.TooLarge
    | problems.Invalid
)


async def read(
    service: interface.KeyValue,
) -> Stored | interface.Unavailable | MalformedValue:
    """Reads the accepted configuration."""
    entry = await service.get(version.KEY)
    if isinstance(entry, interface.Unavailable):
        return entry
    return _stored(entry)


class _Retry(NamedTuple):
    """The attempt had no outcome; the next one reads the key again.

    Attributes:
      reason: why there was no outcome.
    """

    reason: str


class Applier:
    """Applies one request."""

    def __init__(
        self,
        service: interface.KeyValue,
        sleep: Sleep,
        recheck: Recheck = lambda document: None,
    ):
        """Creates an applier.

        Args:
          service: the platform's service.
          sleep: waits for a number of seconds.
          recheck: checks the document that a rebase results in.
        """
        self._service = service
        self._sleep = sleep
        self._recheck = recheck
        self._may_have_landed = False
        self._pending: version.Accepted | None = None
        self._base = Stored(None, 0)

    async def apply(self, request: Request) -> Outcome:
        """Writes the request's document unless another change conflicts.

        Args:
          request: the change.

        Returns:
          The outcome.  The change was accepted if it is `Applied`, and may
          have been accepted if it is `Unsettled` with `may_have_landed`; with
          any other outcome, nothing was written.
        """
        reason = ""
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                await self._sleep(RETRY_INTERVAL_S)
            outcome = await self._attempt(request)
            if not isinstance(outcome, _Retry):
                return outcome
            reason = outcome.reason
        return Unsettled(reason, self._may_have_landed)

    async def _attempt(self, request: Request) -> "Outcome | _Retry":
        """Reads the key, decides and writes once."""
        stored = await read(self._service)
        if isinstance(stored, interface.Unavailable):
            return _Retry(stored.reason)
        if isinstance(stored, MalformedValue):
            return stored
        resolved = self._resolve(request, stored)
        if resolved is not None:
            return resolved
        if self._pending is None:
            pending = self._next_version(request, stored.accepted)
            if not isinstance(pending, version.Accepted):
                return pending
            self._pending = pending
            self._base = stored
        return await self._write(self._pending, stored)

    def _resolve(self, request: Request, stored: Stored) -> Outcome | None:
        """Returns the outcome if the stored value decides it."""
        if self._pending is None:
            return None
        if stored.accepted:
            made = stored.accepted.version_made_by(request.identity)
            if made:
                return self._applied(made, stored.accepted)
        if stored.entry_version == self._base.entry_version:
            return None
        if request.rebase:
            self._pending = None
            return None
        pending = self._pending
        return conflicts.find_conflict(
            stored.accepted, pending.parent, pending.document
        )

    def _next_version(
        self, request: Request, current: version.Accepted | None
    ) -> version.Accepted | Outcome:
        """Returns the version to write, or the outcome without a write."""
        document = request.document
        if current and current.digest == delta.digest(document):
            return Applied(current.version, current, delta.Edits())
        if request.expect is None:
            reverted = conflicts.find_reverted_change(current, document)
            if reverted is not None:
                return reverted
        elif request.expect != (current.version if current else 0):
            rebased = conflicts.find_conflict(current, request.expect, document)
            if not request.rebase or rebased.since is None or rebased.clashing:
                return rebased
            document = conflicts.rebase(rebased, document)
            invalid = self._recheck(document)
            if invalid is not None:
                return invalid
        return version.next_version(
            current, document, request.author, request.identity, request.above
        )

    async def _write(
        self, pending: version.Accepted, stored: Stored
    ) -> "Outcome | _Retry":
        value = version.encode(pending)
        if isinstance(value, version.TooLarge):
            return value
        answer = await self._service.put(
            version.KEY, value, stored.entry_version
        )
        match answer:
            case interface.Unavailable():
                self._may_have_landed = self._may_have_landed or answer.sent
                return _Retry(answer.reason)
            case interface.Conflict():
                return _Retry("another change came first")
        return self._applied(pending.version, pending)

    def _applied(self, made: int, current: version.Accepted) -> Applied:
        before = self._base.accepted.document if self._base.accepted else {}
        return Applied(
            made, current, delta.diff(before, self._pending.document)
        )


def _stored(entry: interface.Entry | None) -> Stored | MalformedValue:
    if entry is None or not entry.version:
        return Stored(None, 0)
    try:
        return Stored(version.decode(entry.value), entry.version)
    except delta.MalformedError as e:
        return MalformedValue(str(e))
