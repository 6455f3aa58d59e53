"""Limits on the memory of a slot's owner and on times of claims."""

from typing import NamedTuple

from azureline.at_most_once import key as key_lib

CLOCK_MARGIN_S = 5.0
MAX_BUDGET_S = 300.0


class Limits(NamedTuple):
    """Limits of one slot.

    Attributes:
      retention_s: age in seconds from which keys are refused.
      entries: maximum number of keys in the table.
      claims: maximum number of keys whose attempt has no outcome yet.
      waiters: maximum number of further copies of one key.
      answer_bytes: maximum memory of cached answers, in bytes.
      batch: maximum number of intents in one write.
    """

    retention_s: float = key_lib.RETENTION_S
    entries: int = 230_000
    claims: int = 4_096
    waiters: int = 8
    answer_bytes: int = 16 << 20
    batch: int = 256

    @property
    def kept_s(self) -> float:
        """Age in seconds from which records of keys may be dropped."""
        return self.retention_s + CLOCK_MARGIN_S
