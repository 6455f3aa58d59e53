"""Runs one scripted case of the review and records what it saw.

A case exits with 1 if the rule was broken, 0 if it held, and 2 if the case
could not run.  With TROUBLE=0 it runs without its disruption.
"""

from collections.abc import Callable
import os
import pathlib
import sys
import time
import traceback

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2


class CannotRunError(RuntimeError):
    """Raised when the case did not reach the state that it tests."""


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: pathlib.Path):
        """Creates an empty record.

        Args:
          path: the file that the record is written to.
        """
        self._path = path
        self._began = time.monotonic()
        self._lines: list[str] = []

    def add(self, line: str) -> None:
        """Adds a line."""
        at_s = time.monotonic() - self._began
        self._lines.append(f"{at_s:8.3f} s  {line}")

    def write(self) -> None:
        """Writes the record to its file."""
        self._path.write_text("\n".join(self._lines) + "\n")


def run(
    file: str,
    check: Callable[[Record, bool], list[str]],
    record_name: str = "record.txt",
) -> None:
    """Runs a case and exits with its result.

    Args:
      file: name of the case's file; the record is written beside it.
      check: runs the case with the record and whether to cause the disruption;
        returns the breaks of the rule.
      record_name: name of the record's file.
    """
    record = Record(pathlib.Path(file).resolve().parent / record_name)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"disruption: {'yes' if has_trouble else 'no'}")
    try:
        breaks = check(record, has_trouble)
        for line in breaks:
            record.add(f"BROKEN: {line}")
        result = BROKEN if breaks else HELD
    except Exception:  # Whatever keeps the case from running.
        record.add(traceback.format_exc())
        result = COULD_NOT_RUN
    record.add(f"exit code {result}")
    record.write()
    print("\n".join(record._lines[-12:]))
    sys.exit(result)
