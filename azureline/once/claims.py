"""The claims for which an owner has something left to do."""

from collections.abc import Iterator
import dataclasses
import enum
import heapq
from typing import NamedTuple

from azureline.once import key as key_lib
from azureline.once import messages


class Phase(enum.Enum):
    """How far the newest attempt of a key has come."""

    QUEUED = "queued"
    WRITING = "writing"
    GRANTED = "granted"
    WITHDRAWN = "withdrawn"


class Copy(NamedTuple):
    """One claim message, by which node and until when it matters.

    Attributes:
      node: name of the entry node.
      request_id: request id of the claim.
      deadline: monotonic time in seconds.
    """

    node: str
    request_id: str
    deadline: float

    def sent(self, message: messages.Request) -> bool:
        """Whether a message speaks of this copy."""
        identity = message.node, message.request_id
        return identity == (self.node, self.request_id)


@dataclasses.dataclass
class Live:
    """A key whose newest attempt has no outcome yet.

    Attributes:
      digest: digest of caller and key.
      key: the key.
      caller: name of the caller.
      content: digest of the request.
      attempt: number of the attempt.
      holder: the copy that gets, or has, the grant.
      phase: how far it has come.
      waiters: further copies, which get the outcome.
    """

    digest: bytes
    key: key_lib.Key
    caller: str
    content: bytes
    attempt: int
    holder: Copy
    phase: Phase = Phase.QUEUED
    waiters: list[Copy] = dataclasses.field(default_factory=list)

    @property
    def copies(self) -> list[Copy]:
        """The holder and the waiters."""
        return [self.holder, *self.waiters]


class Due(NamedTuple):
    """The deadline of a copy has passed.

    Attributes:
      live: the claim.
      copy: the copy.
    """

    live: Live
    copy: Copy


class Claims:
    """The live claims of a slot, by key and by deadline."""

    def __init__(self):
        self._live: dict[bytes, Live] = {}
        self._deadlines: list[tuple[float, str, bytes]] = []
        self._by_node: dict[str, set[bytes]] = {}

    def __len__(self) -> int:
        return len(self._live)

    def get(self, digest: bytes) -> Live | None:
        """Returns the live claim of a key."""
        return self._live.get(digest)

    def add(self, live: Live) -> None:
        """Adds a claim and has `due` report its holder at its deadline."""
        self._live[live.digest] = live
        self._by_node.setdefault(live.holder.node, set()).add(live.digest)
        self.remind(live.holder.deadline, live, live.holder)

    def remind(self, at: float, live: Live, copy: Copy) -> None:
        """Has `due` report a copy at a time, if it is still there then."""
        heapq.heappush(self._deadlines, (at, copy.request_id, live.digest))

    def remove(self, live: Live) -> None:
        """Forgets a claim."""
        self._live.pop(live.digest, None)
        held = self._by_node.get(live.holder.node)
        if held is not None:
            held.discard(live.digest)
            if not held:
                del self._by_node[live.holder.node]

    def adopt(self, live: Live, copy: Copy) -> None:
        """Makes another copy the holder of a claim."""
        digest = live.digest
        self._by_node.get(live.holder.node, set()).discard(digest)
        live.holder = copy
        self._by_node.setdefault(copy.node, set()).add(digest)
        self.remind(copy.deadline, live, copy)

    def of_node(self, node: str) -> list[Live]:
        """Returns the claims whose holder is an entry node."""
        return [self._live[d] for d in sorted(self._by_node.get(node, ()))]

    def all(self) -> list[Live]:
        """Returns all claims."""
        return list(self._live.values())

    def due(self, now: float) -> Iterator[Due]:
        """Takes out, one by one, the copies whose time has come."""
        while self._deadlines and self._deadlines[0][0] <= now:
            _, request_id, digest = heapq.heappop(self._deadlines)
            live = self._live.get(digest)
            for copy in live.copies if live else ():
                if copy.request_id == request_id and copy.deadline <= now:
                    yield Due(live, copy)

    def next_deadline(self) -> float:
        """Returns when `due` may have something to report."""
        return self._deadlines[0][0] if self._deadlines else float("inf")
