"""Merges a site's overlay into the base file.

An overlay has the shape of the base file and states only what differs.
Objects are merged key by key; any other value, lists too, replaces the base's.
In a section whose entries have names, `"$add": {NAME: {...}}` adds entries
and `"$remove": [NAME, ...]` takes entries away; a name outside of these must
be in the base file.
"""

from typing import Any
from typing import NamedTuple

from azureline.config import defaults
from azureline.config import jsonc
from azureline.config import problems
from azureline.config import schema

ADD = "$add"
REMOVE = "$remove"


class Place(NamedTuple):
    """Where a value was written.

    Attributes:
      file: name of the file.
      line: line in it, from 1.
    """

    file: str
    line: int


class Merged(NamedTuple):
    """A base file and an overlay in one document.

    Attributes:
      document: the document, with defaults filled in; None marks options
        that must be given and were not.
      places: where each value was written, by path; defaults have none.
      removed: where entries were removed, by section and name.
      warnings: what works but is better mended.
    """

    document: dict[str, Any]
    places: dict[problems.Path, Place]
    removed: dict[problems.Path, Place]
    warnings: tuple[problems.Problem, ...]

    def locate(self, problem: problems.Problem) -> problems.Problem:
        """Returns the problem with the nearest known place filled in."""
        for end in range(len(problem.path), 0, -1):
            place = self.places.get(problem.path[:end])
            if place is not None:
                return problem._replace(file=place.file, line=place.line)
        return problem


def merge(
    base: jsonc.Source, overlay: jsonc.Source
) -> Merged | problems.Invalid:
    """Returns the base with the overlay's differences.

    Args:
      base: the document shared by all sites.
      overlay: a site's differences.

    Returns:
      The merged document, or every part of either that fits nothing.
    """
    filled = defaults.fill(base.value, "configuration")
    if isinstance(filled, problems.Invalid):
        found = [base.locate(problem) for problem in filled.problems]
        return problems.Invalid(tuple(found))
    merging = _Merging(base, overlay)
    document = merging.merge(filled, overlay.value, ())
    if merging.found:
        found = [overlay.locate(problem) for problem in merging.found]
        return problems.Invalid(tuple(found))
    warnings = tuple(overlay.locate(p) for p in merging.warnings)
    return Merged(document, merging.places, merging.removed, warnings)


class _Merging:
    """Keeps what is found while two documents are merged."""

    def __init__(self, base: jsonc.Source, overlay: jsonc.Source):
        self.found: list[problems.Problem] = []
        self.warnings: list[problems.Problem] = []
        self._base_paths = frozenset(base.lines)
        self.places = {
            path: Place(base.file, line) for path, line in base.lines.items()
        }
        self.removed: dict[problems.Path, Place] = {}
        self._overlay = overlay

    def merge(self, base: Any, change: Any, path: problems.Path) -> Any:
        """Returns the base's value at `path` with a change to it."""
        if not isinstance(base, dict):
            return self._replace(base, change, path)
        if not isinstance(change, dict):
            self._report("expected an object", path)
            return base
        self._note(path, path)
        if len(path) == 1 and path[0] in schema.NAMED_SECTIONS:
            return self._merge_section(base, change, path)
        return self._merge_keys(base, change, path, "option")

    def _merge_keys(
        self,
        base: dict[str, Any],
        change: dict[str, Any],
        path: problems.Path,
        what: str,
    ) -> dict[str, Any]:
        merged = dict(base)
        for key, inner in change.items():
            if key in base:
                merged[key] = self.merge(base[key], inner, (*path, key))
            else:
                hint = problems.nearest(key, base)
                self._report(f"the base has no such {what}{hint}", (*path, key))
        return merged

    def _merge_section(
        self,
        base: dict[str, Any],
        change: dict[str, Any],
        path: problems.Path,
    ) -> dict[str, Any]:
        change = dict(change)
        added = change.pop(ADD, {})
        removed = change.pop(REMOVE, [])
        kept = self._remove(base, removed, (*path, REMOVE))
        merged = self._merge_keys(kept, change, path, "entry")
        return self._add(merged, added, (*path, ADD))

    def _remove(
        self, base: dict[str, Any], names: Any, path: problems.Path
    ) -> dict[str, Any]:
        if not isinstance(names, list):
            self._report("expected a list of names", path)
            return base
        for index, name in enumerate(names):
            where = (*path, index)
            if not isinstance(name, str) or name not in base:
                hint = problems.nearest(str(name), base)
                self._report(f"the base has no entry {name!r}{hint}", where)
                continue
            self.removed[(path[0], name)] = self._place(where)
        return {key: entry for key, entry in base.items() if key not in names}

    def _add(
        self, merged: dict[str, Any], entries: Any, path: problems.Path
    ) -> dict[str, Any]:
        if not isinstance(entries, dict):
            self._report("expected an object of new entries", path)
            return merged
        for name, entry in entries.items():
            if name in merged:
                message = f"the base already has {name!r}; change it outside"
                self._report(f"{message} {ADD}", (*path, name))
                continue
            merged[name] = self._fill(entry, path[0], (*path, name))
        return merged

    def _fill(self, entry: Any, section: str, path: problems.Path) -> Any:
        filled = defaults.fill({section: {path[-1]: entry}}, "configuration")
        if isinstance(filled, problems.Invalid):
            for problem in filled.problems:
                self._report(problem.message, (*path, *problem.path[2:]))
            return entry
        for written in self._overlay.lines:
            if written[: len(path)] == path:
                target = (section, path[-1], *written[len(path) :])
                self._note(target, written)
        return filled[section][path[-1]]

    def _replace(self, base: Any, change: Any, path: problems.Path) -> Any:
        stated = path in self._base_paths
        if stated and change == base and type(change) is type(base):
            message = "the overlay restates the base's value"
            self.warnings.append(problems.Problem(message, path))
        for written in self._overlay.lines:
            if written[: len(path)] == path:
                self._note(written, written)
        return change

    def _note(self, target: problems.Path, written: problems.Path) -> None:
        self.places[target] = self._place(written)

    def _place(self, written: problems.Path) -> Place:
        return Place(self._overlay.file, self._overlay.lines.get(written, 0))

    def _report(self, message: str, path: problems.Path) -> None:
        self.found.append(problems.Problem(message, path))
