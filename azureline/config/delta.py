"""Differences between two plain documents.

Objects are compared key by key; any other value, lists too, is replaced as a
whole.
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
    """Raised for bytes that hold no document."""


class Setting(NamedTuple):
    """A value that is set.

    Attributes:
      path: the keys that lead to it.
      value: the new value.
    """

    path: KeyPath
    value: Any


class Edits(NamedTuple):
    """What turns one document into another.

    Attributes:
      settings: the values that are set.
      removed: the paths that are removed.
    """

    settings: tuple[Setting, ...] = ()
    removed: tuple[KeyPath, ...] = ()

    @property
    def paths(self) -> tuple[KeyPath, ...]:
        """Every path that changes, sorted."""
        return tuple(sorted([s.path for s in self.settings] + [*self.removed]))

    def overlap(self, other: "Edits") -> tuple[KeyPath, ...]:
        """Returns this one's paths that meet a path of the other."""
        return tuple(
            path
            for path in self.paths
            if any(_meet(path, theirs) for theirs in other.paths)
        )


class Mismatch(NamedTuple):
    """Falsy sentinel: edits do not fit the document they were applied to.

    Attributes:
      reason: what does not fit, for logs.
    """

    reason: str

    def __bool__(self) -> bool:
        return False


def digest(document: Document) -> str:
    """Returns the SHA-256 of a document's canonical form, in hexadecimal."""
    return hashlib.sha256(_json(document)).hexdigest()


def diff(old: Document, new: Document) -> Edits:
    """Returns the edits that turn the old document into the new one."""
    settings: list[Setting] = []
    removed: list[KeyPath] = []
    _compare(old, new, (), settings, removed)
    return Edits(tuple(settings), tuple(removed))


def apply(document: Document, edits: Edits) -> Document | Mismatch:
    """Returns the document after edits; the given one is left unchanged."""
    changed = dict(document)
    for path in edits.removed:
        parent = _parent(changed, path)
        if parent is None or path[-1] not in parent:
            return Mismatch(f"there is no {'.'.join(path)} to remove")
        del parent[path[-1]]
    for path, value in edits.settings:
        parent = _parent(changed, path)
        if parent is None:
            return Mismatch(f"there is no object for {'.'.join(path)}")
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
    """Returns the plain value in compressed JSON.

    Raises:
      MalformedError: if it is none, or larger than `MAX_DOCUMENT_BYTES`.
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
    """Returns the edits in compressed form.

    Raises:
      MalformedError: if they are none.
    """
    return edits_from_plain(unpack(data))


def edits_to_plain(edits: Edits) -> list[Any]:
    """Returns edits as plain JSON values."""
    settings = [[list(path), value] for path, value in edits.settings]
    return [settings, [list(path) for path in edits.removed]]


def edits_from_plain(plain: Any) -> Edits:
    """Returns the edits in plain JSON values.

    Raises:
      MalformedError: if they are none.
    """
    try:
        settings, removed = plain
        return Edits(
            tuple(Setting(_path(path), value) for path, value in settings),
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
    settings: list[Setting],
    removed: list[KeyPath],
) -> None:
    for key in sorted(old.keys() | new.keys()):
        where = (*path, key)
        if key not in new:
            removed.append(where)
        elif key not in old:
            settings.append(Setting(where, new[key]))
        elif old[key] is new[key]:
            continue
        elif isinstance(old[key], dict) and isinstance(new[key], dict):
            _compare(old[key], new[key], where, settings, removed)
        elif not _same(old[key], new[key]):
            settings.append(Setting(where, new[key]))


def _same(old: Any, new: Any) -> bool:
    """Compares values as JSON does, for which 1, 1.0 and true differ."""
    if type(old) is not type(new):
        return False
    return _json(old) == _json(new) if isinstance(old, list) else old == new


def _parent(document: Document, path: KeyPath) -> Document | None:
    """Copies the objects on the way and returns the one that holds the key."""
    inner = document
    for key in path[:-1]:
        if not isinstance(inner.get(key), dict):
            return None
        inner[key] = dict(inner[key])
        inner = inner[key]
    return inner


def _meet(one: KeyPath, other: KeyPath) -> bool:
    shorter = min(len(one), len(other))
    return one[:shorter] == other[:shorter]
