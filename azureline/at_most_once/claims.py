"""Pending claims of a slot: those whose attempt has no outcome yet."""

from collections.abc import Iterator
import dataclasses
import enum
import heapq
from typing import NamedTuple

from azureline.at_most_once import key as key_lib
from azureline.at_most_once import messages


class Phase(enum.Enum):
    """Progress of the newest attempt of a key.

    Attributes:
      QUEUED: the intent waits for the next write.
      WRITING: the intent is being written.
      GRANTED: the intent is durable and the holder may dispatch.
      WITHDRAWN: the intent is being written, but no copy waits for it.
    """

    QUEUED = "queued"
    WRITING = "writing"
    GRANTED = "granted"
    WITHDRAWN = "withdrawn"


class ClaimCopy(NamedTuple):
    """One copy of a request: the sender and deadline of its claim.

    Attributes:
      node: name of the entry node.
      request_id: request id of the claim.
      deadline: monotonic time in seconds after which no reply is needed.
    """

    node: str
    request_id: str
    deadline: float

    def matches(self, message: messages.Request) -> bool:
        """Whether a message refers to this copy."""
        identity = message.node, message.request_id
        return identity == (self.node, self.request_id)


@dataclasses.dataclass
class PendingClaim:
    """A key whose newest attempt has no outcome yet.

    Attributes:
      digest: digest of caller and key.
      key: the key.
      caller: name of the caller.
      content: digest of service, path and body.
      attempt: number of the attempt.
      grant_holder: the copy that gets or has the grant.
      phase: progress of the attempt.
      waiters: further copies, which get the outcome once it is known.
    """

    digest: bytes
    key: key_lib.Key
    caller: str
    content: bytes
    attempt: int
    grant_holder: ClaimCopy
    phase: Phase = Phase.QUEUED
    waiters: list[ClaimCopy] = dataclasses.field(default_factory=list)

    @property
    def copies(self) -> list[ClaimCopy]:
        """All copies: the holder, then the waiters."""
        return [self.grant_holder, *self.waiters]


class ExpiredCopy(NamedTuple):
    """A copy whose deadline has passed.

    Attributes:
      claim: the pending claim.
      copy: the expired copy.
    """

    claim: PendingClaim
    copy: ClaimCopy


class PendingClaims:
    """Pending claims of a slot, indexed by key, node and deadline."""

    def __init__(self):
        self._pending_by_digest: dict[bytes, PendingClaim] = {}
        self._deadlines: list[tuple[float, str, bytes]] = []
        self._by_node: dict[str, set[bytes]] = {}

    def __len__(self) -> int:
        return len(self._pending_by_digest)

    def get(self, digest: bytes) -> PendingClaim | None:
        """Returns the pending claim of a key, or None."""
        return self._pending_by_digest.get(digest)

    def add(self, pending: PendingClaim) -> None:
        """Adds a claim and schedules its holder for `pop_expired`."""
        self._pending_by_digest[pending.digest] = pending
        self._by_node.setdefault(pending.grant_holder.node, set()).add(
            pending.digest
        )
        self.schedule(
            pending.grant_holder.deadline, pending, pending.grant_holder
        )

    def schedule(
        self, at: float, pending: PendingClaim, copy: ClaimCopy
    ) -> None:
        """Schedules a copy for `pop_expired`, unless it is gone by then."""
        heapq.heappush(self._deadlines, (at, copy.request_id, pending.digest))

    def remove(self, pending: PendingClaim) -> None:
        """Removes a claim."""
        self._pending_by_digest.pop(pending.digest, None)
        digests = self._by_node.get(pending.grant_holder.node)
        if digests is not None:
            digests.discard(pending.digest)
            if not digests:
                del self._by_node[pending.grant_holder.node]

    def set_holder(self, pending: PendingClaim, copy: ClaimCopy) -> None:
        """Makes another copy the holder of a claim."""
        digest = pending.digest
        self._by_node.get(pending.grant_holder.node, set()).discard(digest)
        pending.grant_holder = copy
        self._by_node.setdefault(copy.node, set()).add(digest)
        self.schedule(copy.deadline, pending, copy)

    def held_by_node(self, node: str) -> list[PendingClaim]:
        """Returns the claims whose holder was sent by an entry node."""
        return [
            self._pending_by_digest[d]
            for d in sorted(self._by_node.get(node, ()))
        ]

    def all(self) -> list[PendingClaim]:
        """Returns all claims."""
        return list(self._pending_by_digest.values())

    def pop_expired(self, now: float) -> Iterator[ExpiredCopy]:
        """Yields the copies whose deadline has passed, and unschedules them."""
        while self._deadlines and self._deadlines[0][0] <= now:
            _, request_id, digest = heapq.heappop(self._deadlines)
            pending = self._pending_by_digest.get(digest)
            for copy in pending.copies if pending else ():
                if copy.request_id == request_id and copy.deadline <= now:
                    yield ExpiredCopy(pending, copy)

    def next_deadline(self) -> float:
        """Returns the monotonic time of the earliest scheduled deadline."""
        return self._deadlines[0][0] if self._deadlines else float("inf")
