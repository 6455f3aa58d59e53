"""Bounds on what the owner of a slot holds."""

from typing import NamedTuple

from azureline.once import key as key_lib

CLOCK_MARGIN_S = 5.0
MAX_BUDGET_S = 300.0


class Limits(NamedTuple):
    """Bounds for one slot.

    Attributes:
      retention_s: age in seconds from which keys are refused.
      entries: keys in the table.
      claims: keys being written or run.
      waiters: further copies of one key.
      answer_bytes: memory for answers.
      batch: keys in one write.
    """

    retention_s: float = key_lib.RETENTION_S
    entries: int = 230_000
    claims: int = 4_096
    waiters: int = 8
    answer_bytes: int = 16 << 20
    batch: int = 256

    @property
    def kept_s(self) -> float:
        """Age in seconds from which keys may be forgotten."""
        return self.retention_s + CLOCK_MARGIN_S
