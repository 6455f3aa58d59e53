"""Settings of the detection of requests that crash servers."""

from typing import NamedTuple


class Settings(NamedTuple):
    """Settings of the detection of crashing requests.

    Attributes:
      settle_s: seconds for which suspects wait after a crash, so that other
        nodes' gossip about it arrives.
      quarantine_s: seconds that a suspect has on its server before the next
        suspect may run there.
      refusal_crashes: number of crashes after which a content is refused,
        if no other suspect was in flight at one of its trials that failed.
      refusal_trials: number of failed trials after which a content is refused
        in any case.
      part_refusal_crashes: number of crashes after which a part of prompts is
        refused, unless other parts can have caused its failed trials.
      part_refusal_trials: number of those crashes that are failed trials which
        no part with more crashes explains.
      part_excuse_trials: number of failed trials for each one that a part may
        have caused which is no suspect; fewer trials need no suspect.
      part_confirm_s: seconds after `settle_s` for which calls wait before they
        are refused for a part.
      trial_gap_s: minimum time in seconds from the crash that makes a suspect
        to a crash that counts as a failed trial.  Servers that crash together
        accuse a popular part many times at once.
      refuse_s: seconds of the first refusal.
      refuse_growth: factor of the refusal's length for each further failed
        trial.
      refuse_cap_s: longest refusal in seconds.
      ambiguity_s: seconds for which a call with several suspected parts waits
        for each of them after the first, so that a call with fewer suspects
        is tried first.
      retention_s: seconds after its last crash for which a suspect is
        remembered, in addition to the time for which it would be refused.
      max_entries: maximum number of remembered contents.
      tolerated_crashes: number of crashes up to which a suspect runs like any
        other content.
      hold_new_contents: whether contents that are not suspects wait for gossip
        after a crash of one of their first servers.
    """

    settle_s: float = 2.0
    quarantine_s: float = 5.0
    refusal_crashes: int = 2
    refusal_trials: int = 4
    part_refusal_crashes: int = 4
    part_refusal_trials: int = 2
    part_excuse_trials: int = 4
    part_confirm_s: float = 0.5
    trial_gap_s: float = 0.0
    refuse_s: float = 600.0
    refuse_growth: float = 2.0
    refuse_cap_s: float = 86400.0
    ambiguity_s: float = 0.3
    retention_s: float = 900.0
    max_entries: int = 4096
    tolerated_crashes: int = 0
    hold_new_contents: bool = True
