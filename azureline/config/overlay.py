"""Merges a site's overlay into the base file.

An overlay has the shape of the base file and states only what differs.
Objects are merged key by key; any other value, lists too, replaces the base's.
In a section whose entries have names, `"$add": {NAME: {...}}` adds entries
and `"$remove": [NAME, ...]` removes entries; a name outside of these must be in
the base file.
"""

from typing import Any
from typing import NamedTuple

from azureline.config import defaults
from azureline.config import jsonc
from azureline.config import problems
from azureline.config import schema

ADD = "$add"
REMOVE = "$remove"


class Location(NamedTuple):
    """Location of a value in the files.

    Attributes:
      file: name of the file.
      line: line in the file, from 1.
    """

    file: str
    line: int


class Merged(NamedTuple):
    """A base file and an overlay, merged into one document.

    Attributes:
      document: the document, with defaults filled in; None marks missing
        required options.
      locations: location of each value, by path; defaults have none.
      removed: location of each removal, by section and name.
      warnings: problems that do not keep the document from being applied.
    """

    document: dict[str, Any]
    locations: dict[problems.Path, Location]
    removed: dict[problems.Path, Location]
    warnings: tuple[problems.Problem, ...]

    def locate(self, problem: problems.Problem) -> problems.Problem:
        """Returns the problem with the nearest known location filled in."""
        for end in range(len(problem.path), 0, -1):
            location = self.locations.get(problem.path[:end])
            if location is not None:
                return problem._replace(file=location.file, line=location.line)
        return problem


def merge(
    base: jsonc.Source, overlay: jsonc.Source
) -> Merged | problems.Invalid:
    """Returns the base with the overlay's changes applied.

    Args:
      base: the document shared by all sites.
      overlay: the changes of one site.

    Returns:
      The merged document, or a problem for each value that does not fit.
    """
    filled = defaults.fill(base.value, "configuration")
    if isinstance(filled, problems.Invalid):
        found = [base.locate(problem) for problem in filled.problems]
        return problems.Invalid(tuple(found))
    merger = _Merger(base, overlay)
    document = merger.merge(filled, overlay.value, ())
    if merger.found:
        found = [overlay.locate(problem) for problem in merger.found]
        return problems.Invalid(tuple(found))
    warnings = tuple(overlay.locate(p) for p in merger.warnings)
    return Merged(document, merger.locations, merger.removed, warnings)


class _Merger:
    """Merges two documents; collects locations, removals and problems."""

    def __init__(self, base: jsonc.Source, overlay: jsonc.Source):
        self.found: list[problems.Problem] = []
        self.warnings: list[problems.Problem] = []
        self._base_paths = frozenset(base.lines)
        self.locations = {
            path: Location(base.file, line) for path, line in base.lines.items()
        }
        self.removed: dict[problems.Path, Location] = {}
        self._overlay = overlay

    def merge(self, base: Any, change: Any, path: problems.Path) -> Any:
        """Returns the base's value at `path` with a change applied."""
        if not isinstance(base, dict):
            return self._replace(base, change, path)
        if not isinstance(change, dict):
            self._report("expected an object", path)
            return base
        self._record_location(path, path)
        if len(path) == 1 and path[0] in schema.NAMED_SECTIONS:
            return self._merge_section(base, change, path)
        return self._merge_keys(base, change, path, "option")

    def _merge_keys(
        self,
        base: dict[str, Any],
        change: dict[str, Any],
        path: problems.Path,
        kind: str,
    ) -> dict[str, Any]:
        merged = dict(base)
        for key, inner in change.items():
            if key in base:
                merged[key] = self.merge(base[key], inner, (*path, key))
            else:
                hint = problems.nearest_name_hint(key, base)
                self._report(f"the base has no such {kind}{hint}", (*path, key))
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
        remaining = self._remove(base, removed, (*path, REMOVE))
        merged = self._merge_keys(remaining, change, path, "entry")
        return self._add(merged, added, (*path, ADD))

    def _remove(
        self, base: dict[str, Any], names: Any, path: problems.Path
    ) -> dict[str, Any]:
        if not isinstance(names, list):
            self._report("expected a list of names", path)
            return base
        for index, name in enumerate(names):
            name_path = (*path, index)
            if not isinstance(name, str) or name not in base:
                hint = problems.nearest_name_hint(str(name), base)
                self._report(f"the base has no entry {name!r}{hint}", name_path)
                continue
            self.removed[(path[0], name)] = self._location(name_path)
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
        for source_path in self._overlay.lines:
            if source_path[: len(path)] == path:
                merged_path = (section, path[-1], *source_path[len(path) :])
                self._record_location(merged_path, source_path)
        return filled[section][path[-1]]

    def _replace(self, base: Any, change: Any, path: problems.Path) -> Any:
        in_base = path in self._base_paths
        if in_base and change == base and type(change) is type(base):
            message = "the overlay restates the base's value"
            self.warnings.append(problems.Problem(message, path))
        for source_path in self._overlay.lines:
            if source_path[: len(path)] == path:
                self._record_location(source_path, source_path)
        return change

    def _record_location(
        self, merged_path: problems.Path, source_path: problems.Path
    ) -> None:
        self.locations[merged_path] = self._location(source_path)

    def _location(self, source_path: problems.Path) -> Location:
        return Location(
            self._overlay.file, self._overlay.lines.get(source_path, 0)
        )

    def _report(self, message: str, path: problems.Path) -> None:
        self.found.append(problems.Problem(message, path))
