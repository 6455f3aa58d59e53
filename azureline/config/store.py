"""Reads and replaces the accepted configuration in the platform's service.

A change is one compare-and-swap of one key.  The value carries the identity
of the apply that wrote it, so that an answer lost after the write is settled
by reading again: the own change landed, another's did, or neither.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

from azureline.config import conflicts
from azureline.config import delta
from azureline.config import problems
from azureline.config import version
from azureline.platform import interface

MAX_TRIES = 8
RETRY_S = 0.5

Sleep = Callable[[float], Awaitable[None]]
Recheck = Callable[[delta.Document], problems.Invalid | None]


class Stored(NamedTuple):
    """What the service holds.

    Attributes:
      accepted: the accepted configuration, or None if there is none.
      entry_version: the service's own version of the key.
    """

    accepted: version.Accepted | None
    entry_version: int


class Unreadable(NamedTuple):
    """Falsy sentinel: the stored value is no configuration.

    Attributes:
      reason: what is wrong with it.
    """

    reason: str

    def __bool__(self) -> bool:
        return False


class Request(NamedTuple):
    """A change that an operator asks for.

    Attributes:
      document: the new plain configuration.
      author: who asks.
      identity: unique id of this request.
      expect: the version that the operator's files started from; None takes
        the current one, but refuses to undo a recent change.
      rebase: whether to carry the edit over to a later version, if nothing
        that it touches has changed since `expect`.
      above: the new version is higher than this as well.
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
      version: the version that it made.
      current: what the service holds now; a later version if others have
        applied changes since.
      edits: what changed; empty if the service held the document already.
    """

    version: int
    current: version.Accepted
    edits: delta.Edits


class Unsettled(NamedTuple):
    """Falsy sentinel: the service gave no answer.

    Attributes:
      reason: what went wrong last.
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
    | Unreadable
    | version.TooLarge
    | problems.Invalid
)


async def read(
    service: interface.KeyValue,
) -> Stored | interface.Unavailable | Unreadable:
    """Reads the accepted configuration."""
    entry = await service.get(version.KEY)
    if isinstance(entry, interface.Unavailable):
        return entry
    return _stored(entry)


class _Again(NamedTuple):
    """The attempt decided nothing; the next one reads first.

    Attributes:
      reason: what went wrong.
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
          recheck: checks a document that a rebase has put together.
        """
        self._service = service
        self._sleep = sleep
        self._recheck = recheck
        self._sent = False
        self._wanted: version.Accepted | None = None
        self._base = Stored(None, 0)

    async def apply(self, request: Request) -> Outcome:
        """Writes the request's document if nothing stands in the way.

        Args:
          request: the change.

        Returns:
          What became of it; on anything but `Applied`, and on `Unsettled`
          without `may_have_landed`, the service holds what it held before.
        """
        reason = ""
        for attempt in range(MAX_TRIES):
            if attempt:
                await self._sleep(RETRY_S)
            outcome = await self._attempt(request)
            if not isinstance(outcome, _Again):
                return outcome
            reason = outcome.reason
        return Unsettled(reason, self._sent)

    async def _attempt(self, request: Request) -> "Outcome | _Again":
        """Reads, decides and writes once."""
        stored = await read(self._service)
        if isinstance(stored, interface.Unavailable):
            return _Again(stored.reason)
        if isinstance(stored, Unreadable):
            return stored
        settled = self._settle(request, stored)
        if settled is not None:
            return settled
        if self._wanted is None:
            wanted = self._plan(request, stored.accepted)
            if not isinstance(wanted, version.Accepted):
                return wanted
            self._wanted = wanted
            self._base = stored
        return await self._write(self._wanted, stored)

    def _settle(self, request: Request, stored: Stored) -> Outcome | None:
        """Returns the outcome if what the service holds decides it."""
        if self._wanted is None:
            return None
        if stored.accepted:
            made = stored.accepted.made_by(request.identity)
            if made:
                return self._applied(made, stored.accepted)
        if stored.entry_version == self._base.entry_version:
            return None
        if request.rebase:
            self._wanted = None
            return None
        wanted = self._wanted
        return conflicts.between(
            stored.accepted, wanted.parent, wanted.document
        )

    def _plan(
        self, request: Request, current: version.Accepted | None
    ) -> version.Accepted | Outcome:
        """Returns the version to be written, or what stands in the way."""
        document = request.document
        if current and current.digest == delta.digest(document):
            return Applied(current.version, current, delta.Edits())
        if request.expect is None:
            undone = conflicts.undone(current, document)
            if undone is not None:
                return undone
        elif request.expect != (current.version if current else 0):
            rebased = conflicts.between(current, request.expect, document)
            if not request.rebase or rebased.since is None or rebased.clashing:
                return rebased
            document = conflicts.rebase(rebased, document)
            invalid = self._recheck(document)
            if invalid is not None:
                return invalid
        return version.successor(
            current, document, request.author, request.identity, request.above
        )

    async def _write(
        self, wanted: version.Accepted, stored: Stored
    ) -> "Outcome | _Again":
        value = version.encode(wanted)
        if isinstance(value, version.TooLarge):
            return value
        answer = await self._service.put(
            version.KEY, value, stored.entry_version
        )
        match answer:
            case interface.Unavailable():
                self._sent = self._sent or answer.sent
                return _Again(answer.reason)
            case interface.Conflict():
                return _Again("another change came first")
        return self._applied(wanted.version, wanted)

    def _applied(self, made: int, current: version.Accepted) -> Applied:
        before = self._base.accepted.document if self._base.accepted else {}
        return Applied(made, current, delta.diff(before, self._wanted.document))


def _stored(entry: interface.Entry | None) -> Stored | Unreadable:
    if entry is None or not entry.version:
        return Stored(None, 0)
    try:
        return Stored(version.decode(entry.value), entry.version)
    except delta.MalformedError as e:
        return Unreadable(str(e))
