"""Keeps the latest deltas between versions, to send them to other nodes."""

from azureline.config import delta
from azureline.config import messages
from azureline.config import version

MAX_DELTAS = 64


class DeltaLog:
    """The deltas that led to the version that a node holds."""

    def __init__(self):
        self._by_parent: dict[int, messages.Delta] = {}

    def clear(self) -> None:
        """Drops all deltas."""
        self._by_parent.clear()

    def add(self, step: messages.Delta) -> None:
        """Stores a delta; drops the oldest beyond `MAX_DELTAS`."""
        self._by_parent[step.parent] = step
        while len(self._by_parent) > MAX_DELTAS:
            del self._by_parent[min(self._by_parent)]

    def chain(self, start: int, end: int) -> list[messages.Delta]:
        """Returns the deltas between two versions; empty if one is missing."""
        steps = []
        current = start
        while current in self._by_parent and current < end:
            steps.append(self._by_parent[current])
            current = steps[-1].version
        return steps if current == end else []


def compute_delta(
    old: version.Accepted, new: version.Accepted
) -> messages.Delta:
    """Returns the delta that leads from one version to a later one."""
    edits = delta.diff(old.document, new.document)
    return messages.Delta(
        parent=old.version,
        version=new.version,
        identity=new.identity,
        author=new.author,
        digest=new.digest,
        edits=delta.pack_edits(edits),
    )


def apply_delta(
    held: version.Accepted | None, step: messages.Delta
) -> version.Accepted | delta.Mismatch:
    """Applies a delta to the held version and returns the next version."""
    if held is None or step.parent != held.version:
        return delta.Mismatch(
            f"the delta applies to version {step.parent}, which is not held"
        )
    try:
        edits = delta.unpack_edits(step.edits)
    except delta.MalformedError as e:
        return delta.Mismatch(str(e))
    document = delta.apply_edits(held.document, edits)
    if isinstance(document, delta.Mismatch):
        return document
    if delta.digest(document) != step.digest:
        return delta.Mismatch(
            "the resulting document does not have the delta's digest"
        )
    return version.Accepted(
        version=step.version,
        identity=step.identity,
        author=step.author,
        parent=step.parent,
        digest=step.digest,
        document=document,
    )
