"""Types of options, annotated with the constraints on their values."""

from typing import Annotated
from typing import NamedTuple


class Bounds(NamedTuple):
    """Range of a number, checked when a document is read.

    Attributes:
      low: the lowest valid value.
      high: the highest valid value.
      low_exclusive: whether `low` is exclusive.
    """

    low: float
    high: float = float("inf")
    low_exclusive: bool = False


class Pattern(NamedTuple):
    """A regular expression that a whole string must match.

    Attributes:
      regex: the expression.
      meaning: description of a valid string, for error messages.
    """

    regex: str
    meaning: str


class Size(NamedTuple):
    """Marks a number of bytes that may also be written as "14 GiB"."""


Bytes = Annotated[int, Size(), Bounds(0)]
PositiveBytes = Annotated[int, Size(), Bounds(1)]
Count = Annotated[int, Bounds(0)]
Positive = Annotated[int, Bounds(1)]
Seconds = Annotated[float, Bounds(0, low_exclusive=True)]
Rate = Annotated[float, Bounds(0, low_exclusive=True)]
Weight = Annotated[float, Bounds(0)]
Ratio = Annotated[float, Bounds(0, 1)]
Port = Annotated[int, Bounds(1, 65535)]
Host = Annotated[str, Pattern(r"[0-9a-fA-F.:]+", "an IP address")]
Address = Annotated[str, Pattern(r"\[?[0-9a-fA-F.:]+\]?:\d+", "IP:PORT")]
Digest = Annotated[str, Pattern(r"[0-9a-f]{64}", "a SHA-256 in hexadecimal")]
Name = Annotated[str, Pattern(r"[A-Za-z0-9][\w.-]*", "a plain name")]
EntryName = Annotated[str, Pattern(r"[A-Za-z0-9][\w./:-]*", "a plain name")]
Servers = Annotated[str, Pattern(r"[A-Za-z0-9][\w.-]*\*?", "NAME or PREFIX*")]
