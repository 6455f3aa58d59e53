"""Fills the shipped defaults into documents."""

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
    """Returns a document with every option that it leaves out filled in.

    Args:
      document: the plain document as an operator wrote it.
      kind: "node", "relay" or "configuration".
      strict: whether unknown options are mistakes; else they are left out.

    Returns:
      The completed document, or every unknown or missing option.
    """
    filling = _Filling(strict)
    filled = filling.fill(document, load()[kind], ())
    found = filling.found + missing(filled)
    return problems.Invalid(tuple(found)) if found else filled


def fill(
    document: Any, kind: str, strict: bool = True
) -> dict[str, Any] | problems.Invalid:
    """Does the same as `complete`, but leaves None for what must be given."""
    filling = _Filling(strict)
    filled = filling.fill(document, load()[kind], ())
    if filling.found:
        return problems.Invalid(tuple(filling.found))
    return filled


def each(section: str) -> dict[str, Any]:
    """Returns the defaults of the entries of a named section."""
    return load()["configuration"][section][_EACH]


def missing(value: Any, path: problems.Path = ()) -> list[problems.Problem]:
    """Returns a problem for every option that was left without a value."""
    if value is None:
        return [problems.Problem("this option must be given", path)]
    if not isinstance(value, dict):
        return []
    return [
        problem
        for key, inner in value.items()
        for problem in missing(inner, (*path, key))
    ]


class _Filling:
    """Merges a document into the defaults and notes what does not fit."""

    def __init__(self, strict: bool):
        self.found: list[problems.Problem] = []
        self._strict = strict

    def fill(self, value: Any, default: Any, path: problems.Path) -> Any:
        """Returns `value` with what it lacks taken from `default`."""
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
            hint = problems.nearest(key, default)
            self._report(f"unknown option{hint}", (*path, key))

    def _report(self, message: str, path: problems.Path) -> None:
        self.found.append(problems.Problem(message, path))
