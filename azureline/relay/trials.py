"""Trials of suspects by this node, from their send to their outcome.

The claim of a trial lapses soon, so that a node that stops cannot hold up other
nodes.  The node that runs the trial renews the claim until it is known whether
the server survived.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from twisted.internet import defer
from twisted.internet import task

from azureline.core import clock as clocks
from azureline.routing import suspects as suspects_lib
from azureline.util import events

# Interval of renewals; several fit into the term of a claim.
_RENEW_S = 0.5

Suspects = tuple[bytes, ...]


class _Trial(NamedTuple):
    """A trial without an outcome.

    Attributes:
      began: monotonic time in seconds.
      renewal: renews the claim.
    """

    began: float
    renewal: task.LoopingCall


class Trials:
    """The trials that this node runs."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        table: suspects_lib.SuspectTable,
        renew: Callable[[Suspects], Awaitable[None]],
        release: Callable[[Suspects], None],
        log: events.Log,
    ):
        """Creates an instance without trials.

        Args:
          reactor: the Twisted reactor.
          clock: source of time.
          table: the suspects that this node knows.
          renew: renews the claim of a trial.
          release: gives up the claim of a trial.
          log: receives a line for the end of each trial.
        """
        self._reactor = reactor
        self._clock = clock
        self._table = table
        self._renew = renew
        self._release = release
        self._log = log
        self._trials: dict[Suspects, _Trial] = {}

    def runs_any(self, suspects: Suspects) -> bool:
        """Returns whether one of some suspects has a trial here."""
        return any(
            not set(trial).isdisjoint(suspects) for trial in self._trials
        )

    def begin(self, suspects: Suspects) -> None:
        """Records that suspects are sent to the server of their trial."""
        if not suspects or suspects in self._trials:
            return
        renewal = task.LoopingCall(self._start_renewal, suspects)
        renewal.clock = self._reactor
        self._trials[suspects] = _Trial(self._clock.now(), renewal)
        renewal.start(_RENEW_S, now=False)

    def end(
        self,
        suspects: Suspects,
        watch: Callable[[], Awaitable[None]] | None,
    ) -> None:
        """Records the end of a trial's attempt.

        Args:
          suspects: the suspects of the trial.
          watch: waits until it is known whether the server survived; None if
            it did, or if the suspects did not run.
        """
        if suspects not in self._trials:
            return
        if watch is None:
            self._finish(suspects)
            return
        watched = defer.ensureDeferred(watch())
        watched.addErrback(self._log_failure)
        watched.addCallback(lambda _: self._finish(suspects))

    def close(self) -> None:
        """Stops the renewals."""
        for trial in self._trials.values():
            trial.renewal.stop()
        self._trials.clear()

    def _finish(self, suspects: Suspects) -> None:
        trial = self._trials.pop(suspects, None)
        if trial is None:
            return
        trial.renewal.stop()
        self._release(suspects)
        self._log.info(
            "suspect_trial_ended",
            suspects=[suspect.hex() for suspect in suspects],
            outcome=self._outcome(suspects, trial.began),
            took_s=round(self._clock.now() - trial.began, 3),
        )

    def _outcome(self, suspects: Suspects, began: float) -> str:
        if max(map(self._table.last_crash_at, suspects)) >= began:
            return "crashed"
        return "unknown" if self._table.suspects_of(suspects) else "cleared"

    def _start_renewal(self, suspects: Suspects) -> None:
        # A renewal that has no answer yet must not delay the next one.
        renewing = defer.ensureDeferred(self._renew(suspects))
        renewing.addErrback(self._log_failure)

    def _log_failure(self, failure: Any) -> None:
        self._log.error("suspect_trial_failed", reason=failure.getTraceback())
