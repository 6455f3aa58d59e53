"""Problems with a document and their locations."""

from collections.abc import Iterable
import difflib
from typing import NamedTuple

Path = tuple[str | int, ...]


def path_text(path: Path) -> str:
    """Returns the text of a path, such as `services.x.routes[0]`."""
    text = ""
    for key in path:
        if isinstance(key, int):
            text += f"[{key}]"
        else:
            text += f".{key}" if text else key
    return text


def nearest_name_hint(name: str, known: Iterable[str]) -> str:
    """Returns a hint with the known name most similar to a wrong one, or ""."""
    found = difflib.get_close_matches(name, list(known), n=1)
    return f"; did you mean {found[0]!r}?" if found else ""


class Problem(NamedTuple):
    """One problem with a document.

    Attributes:
      message: description of the problem, for operators.
      path: keys that lead to the value.
      file: name of the file, or "" if the document was not read from one.
      line: line of the value in the file, from 1; 0 if unknown.
    """

    message: str
    path: Path = ()
    file: str = ""
    line: int = 0

    def __str__(self) -> str:
        parts = []
        if self.file:
            location = f"{self.file}:{self.line}" if self.line else self.file
            parts.append(location)
        if self.path:
            parts.append(path_text(self.path))
        return ": ".join([*parts, self.message])


class Invalid(NamedTuple):
    """Falsy sentinel: the document cannot be accepted.

    Attributes:
      problems: all problems that were found.
    """

    problems: tuple[Problem, ...]

    def __bool__(self) -> bool:
        return False

    def __str__(self) -> str:
        return "\n".join(str(problem) for problem in self.problems)
