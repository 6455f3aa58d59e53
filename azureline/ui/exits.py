"""Exit codes of the command line."""

import enum


class Exit(enum.IntEnum):
    """Why a command ended.

    Attributes:
      OK: it did what was asked.
      REFUSED: the input is invalid or was refused; nothing has changed.
      USAGE: the command line itself is wrong.
      CONFLICT: another operator's change is in the way; nothing has changed.
      UNAVAILABLE: the platform's service or the node gave no answer.
    """

    OK = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
