"""Writes the table of error kinds into the HTTP reference."""

import pathlib
import sys

from azureline.core import errors

PAGE = pathlib.Path("docs/reference/http.md")
_BEGIN = "<!-- errors:begin -->\n"
_END = "<!-- errors:end -->\n"


def table() -> str:
    """Returns the table of error kinds in Markdown."""
    rows = [
        "| kind | status | ran | retry after (s) | meaning | counter |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for kind, answer in errors.ANSWERS.items():
        retry = "—" if answer.retry_after_s is None else answer.retry_after_s
        rows.append(
            f"| `{kind.value}` | {answer.status} | {answer.ran.value} "
            f"| {retry} | {answer.title} | `refused.{kind.value}` |"
        )
    return "\n".join(rows) + "\n"


def render(page: str) -> str:
    """Returns the page with its table replaced by the current one."""
    before, _, rest = page.partition(_BEGIN)
    _, _, after = rest.partition(_END)
    return before + _BEGIN + table() + _END + after


def main() -> int:
    """Rewrites the page; returns the exit code."""
    PAGE.write_text(render(PAGE.read_text()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
