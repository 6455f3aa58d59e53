"""Exit codes of the command line."""

import enum


class Exit(enum.IntEnum):
    """Exit code of a command.

    Attributes:
      OK: the command succeeded.
      REFUSED: the input is invalid or was refused; nothing has changed.
      USAGE: the command line is invalid.
      CONFLICT: another operator's change conflicts; nothing has changed.
      UNAVAILABLE: the platform's service or the node gave no answer.
    """

    OK = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
