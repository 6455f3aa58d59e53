"""Failed trials of a suspect, and how long it is refused after them."""

from collections.abc import Sequence

from azureline.routing import crash_history
from azureline.routing import suspect_settings

# A longer refusal than the cap needs no exact length.
_MAX_EXTRA_TRIALS = 30


def select(
    crashes: Sequence[crash_history.Crash], settings: suspect_settings.Settings
) -> list[crash_history.Crash]:
    """Returns the crashes after those that made a signature a suspect.

    Args:
      crashes: the signature's crashes, in any order.
      settings: the settings.
    """
    tolerated = settings.tolerated_crashes
    ordered = sorted(crashes, key=lambda crash: crash.at)
    if len(ordered) <= tolerated:
        return []
    counts_from = ordered[tolerated].at + settings.trial_gap_s
    return [c for c in ordered[tolerated + 1 :] if c.at >= counts_from]


def refused_until(
    crashes: Sequence[crash_history.Crash], settings: suspect_settings.Settings
) -> float:
    """Returns the Unix time until which a suspect may be refused.

    Args:
      crashes: its crashes, in any order.
      settings: the settings.
    """
    last = max((crash.at for crash in crashes), default=0.0)
    extra_trials = max(0, len(select(crashes, settings)) - 1)
    growth = settings.refuse_growth ** min(extra_trials, _MAX_EXTRA_TRIALS)
    return last + min(settings.refuse_s * growth, settings.refuse_cap_s)
