"""Fills the shipped defaults into documents."""

import functools
import pathlib
from typing import Any

from azureline.config import jsonc
from azureline.config import problems

_FILE = pathlib.Path(__file__).with_name("defaults.json")
_EACH = "*"


@functools.cache
def load() -> dict[str, Any]:
    """Returns the shipped defaults; the caller must not change them."""
    return jsonc.load(str(_FILE)).value


def complete(
    document: Any, kind: str, strict: bool = True
) -> dict[str, Any] | problems.Invalid:
    """Returns a document with every option that it leaves out filled in.

    Args:
      document: the plain document as an operator wrote it.
      kind: "node" or "configuration".
      strict: whether unknown options are mistakes; else they are left out.

    Returns:
      The completed document, or every unknown or missing option.
    """
    completion = _Completion(strict)
    completed = completion.fill(document, load()[kind], ())
    if completion.found:
        return problems.Invalid(tuple(completion.found))
    return completed


class _Completion:
    """Merges a document into the defaults and notes what does not fit."""

    def __init__(self, strict: bool):
        self.found: list[problems.Problem] = []
        self._strict = strict

    def fill(self, value: Any, default: Any, path: problems.Path) -> Any:
        """Returns `value` with what it lacks taken from `default`."""
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
            key: self._option(value, key, default[key], (*path, key))
            for key in default
        }

    def _option(
        self, value: dict[str, Any], key: str, default: Any, path: problems.Path
    ) -> Any:
        if value.get(key) is not None:
            return self.fill(value[key], default, path)
        if default is None:
            self._report("this option must be given", path)
        return (
            self.fill({}, default, path)
            if isinstance(default, dict)
            else default
        )

    def _check_keys(
        self,
        value: dict[str, Any],
        default: dict[str, Any],
        path: problems.Path,
    ) -> None:
        if not self._strict:
            return
        for key in value:
            if key not in default:
                hint = problems.nearest(key, default)
                self._report(f"unknown option{hint}", (*path, key))

    def _report(self, message: str, path: problems.Path) -> None:
        self.found.append(problems.Problem(message, path))
