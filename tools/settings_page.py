"""Writes the tables of all options into the settings reference."""

from collections.abc import Iterator
from importlib import resources
import json
import pathlib
import sys
from typing import Any

from azureline.config import jsonc
from azureline.config import problems

PAGE = pathlib.Path("docs/reference/settings.md")


def table(kind: str) -> str:
    """Returns the table of a kind's options in Markdown.

    Args:
      kind: "node", "relay" or "configuration".
    """
    text = resources.files("azureline.config").joinpath("defaults.json")
    lines = text.read_text("utf-8").splitlines()
    source = jsonc.load_shipped("defaults.json")
    rows = ["| option | default | meaning |", "| --- | --- | --- |"]
    for path, default in _options(source.value[kind], ()):
        line = lines[source.lines[(kind, *path)] - 1]
        _, _, meaning = line.partition("// ")
        shown = "required" if default is None else f"`{json.dumps(default)}`"
        name = problems.path_text(path).replace("*", "NAME")
        rows.append(f"| `{name}` | {shown} | {meaning} |")
    return "\n".join(rows) + "\n"


def render(page: str) -> str:
    """Returns the page with its tables replaced by the current ones."""
    for kind in ("node", "relay", "configuration"):
        begin, end = f"<!-- {kind}:begin -->\n", f"<!-- {kind}:end -->\n"
        before, _, rest = page.partition(begin)
        _, _, after = rest.partition(end)
        page = before + begin + table(kind) + end + after
    return page


def _options(
    default: dict[str, Any], path: problems.Path
) -> Iterator[tuple[problems.Path, Any]]:
    for key, value in default.items():
        if isinstance(value, dict):
            yield from _options(value, (*path, key))
        else:
            yield (*path, key), value


def main() -> int:
    """Rewrites the page; returns the exit code."""
    PAGE.write_text(render(PAGE.read_text("utf-8")), "utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
