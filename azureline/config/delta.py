"""Differences between two plain documents.

Objects are compared key by key; any other value, including a list, is replaced
as a whole.
"""

import hashlib
import json
from typing import Any
from typing import NamedTuple
import zlib

MAX_DOCUMENT_BYTES = 8 << 20

Document = dict[str, Any]
KeyPath = tuple[str, ...]


class MalformedError(ValueError):
    """Raised for bytes or values that do not decode to the expected form."""


class Assignment(NamedTuple):
    """A value that edits set.

    Attributes:
      path: keys that lead to the value.
      value: the new value.
    """

    path: KeyPath
    value: Any


class Edits(NamedTuple):
    """Changes that turn one document into another.

    Attributes:
      assignments: values to set.
      removed: paths to remove.
    """

    assignments: tuple[Assignment, ...] = ()
    removed: tuple[KeyPath, ...] = ()

    @property
    def paths(self) -> tuple[KeyPath, ...]:
        """All changed paths, sorted."""
        return tuple(
            sorted([s.path for s in self.assignments] + [*self.removed])
        )

    def overlap(self, other: "Edits") -> tuple[KeyPath, ...]:
        """Returns the paths here that contain or lie in a path of `other`."""
        return tuple(
            path
            for path in self.paths
            if any(_nested(path, other_path) for other_path in other.paths)
        )


class Mismatch(NamedTuple):
    """Falsy sentinel: edits do not fit the document they were applied to.

    Attributes:
      reason: what does not fit.
    """

    reason: str

    def __bool__(self) -> bool:
        return False


def digest(document: Document) -> str:
    """Returns the SHA-256 of a document's canonical form, in hexadecimal."""
    return hashlib.sha256(_json(document)).hexdigest()


def diff(old: Document, new: Document) -> Edits:
    """Returns the edits that turn the old document into the new one."""
    assignments: list[Assignment] = []
    removed: list[KeyPath] = []
    _compare(old, new, (), assignments, removed)
    return Edits(tuple(assignments), tuple(removed))


def apply_edits(document: Document, edits: Edits) -> Document | Mismatch:
    """Returns an edited copy of the document; the original is unchanged."""
    changed = dict(document)
    for path in edits.removed:
        parent = _parent(changed, path)
        if parent is None or path[-1] not in parent:
            return Mismatch(f"cannot remove {'.'.join(path)}: no such path")
        del parent[path[-1]]
    for path, value in edits.assignments:
        parent = _parent(changed, path)
        if parent is None:
            return Mismatch(
                f"cannot set {'.'.join(path)}: its parent is not an object"
            )
        parent[path[-1]] = value
    return changed


def get(document: Document, path: KeyPath) -> Any:
    """Returns the value at a path, or None if there is none."""
    value: Any = document
    for key in path:
        if not isinstance(value, dict) or key not in value:
            return None
        value = value[key]
    return value


def pack(value: Any) -> bytes:
    """Returns a plain value as compressed JSON."""
    return zlib.compress(_json(value), 9)


def unpack(data: bytes) -> Any:
    """Returns the plain value that compressed JSON holds.

    Raises:
      MalformedError: if the data is not compressed JSON, or the text is larger
        than `MAX_DOCUMENT_BYTES`.
    """
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(data, MAX_DOCUMENT_BYTES)
        if not inflater.eof:
            raise MalformedError("truncated, or too large")
        return json.loads(text)
    except (zlib.error, ValueError, RecursionError) as e:
        raise MalformedError(str(e)) from None


def pack_edits(edits: Edits) -> bytes:
    """Returns edits in compressed form."""
    return pack(edits_to_plain(edits))


def unpack_edits(data: bytes) -> Edits:
    """Returns the edits that `pack_edits` packed.

    Raises:
      MalformedError: if the data does not hold edits.
    """
    return edits_from_plain(unpack(data))


def edits_to_plain(edits: Edits) -> list[Any]:
    """Returns edits as plain JSON values."""
    assignments = [[list(path), value] for path, value in edits.assignments]
    return [assignments, [list(path) for path in edits.removed]]


def edits_from_plain(plain: Any) -> Edits:
    """Returns the edits that plain JSON values describe.

    Raises:
      MalformedError: if the values are not edits.
    """
    try:
        assignments, removed = plain
        return Edits(
            tuple(
                Assignment(_path(path), value) for path, value in assignments
            ),
            tuple(_path(path) for path in removed),
        )
    except (TypeError, ValueError) as e:
        raise MalformedError(f"no edits: {e}") from None


def _path(keys: Any) -> KeyPath:
    path = tuple(keys)
    if not path or not all(isinstance(key, str) for key in path):
        raise ValueError("a path is one or more keys")
    return path


def _json(value: Any) -> bytes:
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def _compare(
    old: Document,
    new: Document,
    path: KeyPath,
    assignments: list[Assignment],
    removed: list[KeyPath],
) -> None:
    for key in sorted(old.keys() | new.keys()):
        key_path = (*path, key)
        if key not in new:
            removed.append(key_path)
        elif key not in old:
            assignments.append(Assignment(key_path, new[key]))
        elif old[key] is new[key]:
            continue
        elif isinstance(old[key], dict) and isinstance(new[key], dict):
            _compare(old[key], new[key], key_path, assignments, removed)
        elif not _same(old[key], new[key]):
            assignments.append(Assignment(key_path, new[key]))


def _same(old: Any, new: Any) -> bool:
    """Compares values as JSON does: 1, 1.0 and true differ."""
    if type(old) is not type(new):
        return False
    return _json(old) == _json(new) if isinstance(old, list) else old == new


def _parent(document: Document, path: KeyPath) -> Document | None:
    """Copies the objects along a path; returns the one with the last key."""
    inner = document
    for key in path[:-1]:
        if not isinstance(inner.get(key), dict):
            return None
        inner[key] = dict(inner[key])
        inner = inner[key]
    return inner


def _nested(one: KeyPath, other: KeyPath) -> bool:
    shorter = min(len(one), len(other))
    return one[:shorter] == other[:shorter]
