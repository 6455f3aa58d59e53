"""Completes documents with the shipped defaults."""

import functools
from typing import Any

from azureline.config import jsonc
from azureline.config import problems

_FILE = "defaults.json"
_EACH = "*"


@functools.cache
def load() -> dict[str, Any]:
    """Returns the shipped defaults; the caller must not change them."""
    return jsonc.load_shipped(_FILE).value


def complete(
    document: Any, kind: str, strict: bool = True
) -> dict[str, Any] | problems.Invalid:
    """Returns a document with a default for each option that it omits.

    Args:
      document: the plain document as an operator wrote it.
      kind: "node", "relay" or "configuration".
      strict: whether unknown options are errors; otherwise they are dropped.

    Returns:
      The completed document, or every unknown or missing option.
    """
    filler = _Filler(strict)
    filled = filler.fill(document, load()[kind], ())
    found = filler.found + missing(filled)
    return problems.Invalid(tuple(found)) if found else filled


def fill(
    document: Any, kind: str, strict: bool = True
) -> dict[str, Any] | problems.Invalid:
    """Like `complete`, but leaves None for missing required options."""
    filler = _Filler(strict)
    filled = filler.fill(document, load()[kind], ())
    if filler.found:
        return problems.Invalid(tuple(filler.found))
    return filled


def entry_defaults(section: str) -> dict[str, Any]:
    """Returns the defaults of the entries of a named section."""
    return load()["configuration"][section][_EACH]


def missing(value: Any, path: problems.Path = ()) -> list[problems.Problem]:
    """Returns a problem for each required option without a value."""
    if value is None:
        return [problems.Problem("this option must be given", path)]
    if not isinstance(value, dict):
        return []
    return [
        problem
        for key, inner in value.items()
        for problem in missing(inner, (*path, key))
    ]


class _Filler:
    """Merges a document into the defaults and collects problems."""

    def __init__(self, strict: bool):
        self.found: list[problems.Problem] = []
        self._strict = strict

    def fill(self, value: Any, default: Any, path: problems.Path) -> Any:
        """Returns `value` with missing options taken from `default`."""
        if value is None:
            value = {} if isinstance(default, dict) else default
        if not isinstance(default, dict):
            return value
        if not isinstance(value, dict):
            self._report("expected an object", path)
            return default
        if _EACH in default:
            return {
                name: self.fill(entry, default[_EACH], (*path, name))
                for name, entry in value.items()
            }
        self._check_keys(value, default, path)
        return {
            key: self.fill(value.get(key), default[key], (*path, key))
            for key in default
        }

    def _check_keys(
        self,
        value: dict[str, Any],
        default: dict[str, Any],
        path: problems.Path,
    ) -> None:
        unknown = [key for key in value if key not in default]
        for key in unknown if self._strict else ():
            hint = problems.nearest_name_hint(key, default)
            self._report(f"unknown option{hint}", (*path, key))

    def _report(self, message: str, path: problems.Path) -> None:
        self.found.append(problems.Problem(message, path))
