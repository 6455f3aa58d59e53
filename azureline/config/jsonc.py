"""Parses JSON with comments and records the line of each value."""

import functools
from importlib import resources
import json
import math
import pathlib
from typing import Any
from typing import NamedTuple

import lark

from azureline.config import problems

MAX_DEPTH = 32
_PACKAGE = "azureline.config"
_GRAMMAR = "jsonc.lark"
_CONSTANTS = {"TRUE": True, "FALSE": False, "NULL": None}


class Source(NamedTuple):
    """A document that was read from a file.

    Attributes:
      value: the parsed value.
      file: name of the file, for messages.
      lines: line of each value, and of each object member's key, by path.
    """

    value: Any
    file: str
    lines: dict[problems.Path, int]

    def locate(self, problem: problems.Problem) -> problems.Problem:
        """Returns the problem with the nearest known line filled in."""
        path = problem.path
        while path and path not in self.lines:
            path = path[:-1]
        return problem._replace(file=self.file, line=self.lines.get(path, 0))


def load(path: str) -> Source | problems.Invalid:
    """Reads a file.

    Args:
      path: the file to read.

    Returns:
      The document, or the problem with the file.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as e:
        reason = getattr(e, "strerror", None) or "not UTF-8 text"
        return _invalid(reason, path, 0)
    return parse(text, path)


def load_shipped(name: str) -> Source:
    """Reads a file of this package, which may be packed in an archive."""
    return parse(_shipped(name), name)


def parse(text: str, file: str = "") -> Source | problems.Invalid:
    """Parses JSON with `//` and `/* */` comments and trailing commas.

    Args:
      text: the document.
      file: name of the file, for messages.

    Returns:
      The document, or the problems with the text.
    """
    try:
        tree = _parser().parse(text)
    except lark.exceptions.UnexpectedEOF:
        return _invalid("unexpected end of file", file, text.count("\n") + 1)
    except lark.exceptions.UnexpectedInput as e:
        return _invalid(_syntax_message(e, text), file, max(e.line, 0))
    builder = _Builder(file)
    value = builder.build(tree, ())
    if builder.found:
        return problems.Invalid(tuple(builder.found))
    return Source(value, file, builder.lines)


class _Builder:
    """Converts a parse tree to values and records their lines."""

    def __init__(self, file: str):
        self.lines: dict[problems.Path, int] = {}
        self.found: list[problems.Problem] = []
        self._file = file

    def build(self, node: Any, path: problems.Path) -> Any:
        """Returns the value of a tree or token at `path`."""
        if len(path) > MAX_DEPTH:
            self._report("nested too deeply", path, 0)
            return None
        if isinstance(node, lark.Token):
            self.lines.setdefault(path, node.line)
            return self._scalar(node, path)
        self.lines.setdefault(path, getattr(node.meta, "line", 1))
        if node.data == "array":
            return [
                self.build(child, (*path, index))
                for index, child in enumerate(node.children)
            ]
        return self._object(node, path)

    def _object(self, node: lark.Tree, path: problems.Path) -> dict[str, Any]:
        members: dict[str, Any] = {}
        for key_token, child in (member.children for member in node.children):
            key = json.loads(key_token)
            if key in members:
                message = f"key {key!r} is given twice"
                self._report(message, (*path, key), key_token.line)
            self.lines[(*path, key)] = key_token.line
            members[key] = self.build(child, (*path, key))
        return members

    def _scalar(self, token: lark.Token, path: problems.Path) -> Any:
        if token.type in _CONSTANTS:
            return _CONSTANTS[token.type]
        value = json.loads(token)
        if isinstance(value, float) and not math.isfinite(value):
            self._report("the number is too large", path, token.line)
        return value

    def _report(self, message: str, path: problems.Path, line: int) -> None:
        self.found.append(problems.Problem(message, path, self._file, line))


@functools.cache
def _parser() -> lark.Lark:
    grammar = _shipped(_GRAMMAR)
    return lark.Lark(grammar, parser="lalr", propagate_positions=True)


def _shipped(name: str) -> str:
    return resources.files(_PACKAGE).joinpath(name).read_text("utf-8")


def _syntax_message(error: lark.exceptions.UnexpectedInput, text: str) -> str:
    if isinstance(error, lark.exceptions.UnexpectedToken):
        if error.token.type == "$END":
            return "unexpected end of file"
        return f"unexpected {str(error.token)!r}"
    return f"unexpected {text[error.pos_in_stream]!r}"


def _invalid(message: str, file: str, line: int) -> problems.Invalid:
    return problems.Invalid((problems.Problem(message, (), file, line),))
