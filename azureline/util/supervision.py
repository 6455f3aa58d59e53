"""Keeps the tasks of a process running when one of their steps fails."""

from collections.abc import Awaitable
from collections.abc import Callable
import traceback
from typing import Any

from twisted.internet import defer
from twisted.internet import task

from azureline.metrics import counters as metrics
from azureline.util import events

# Delay before a failed task starts again, so that it does not fail in a loop.
_RESTART_S = 1.0


class Supervisor:
    """Logs and counts failures of tasks, which go on."""

    def __init__(self, counters: metrics.Counters, log: events.Log):
        """Creates a supervisor.

        Args:
          counters: counts the failures.
          log: receives a line for each failure.
        """
        self._counters = counters
        self._log = log

    def guarded(
        self, name: str, step: Callable[..., Any]
    ) -> Callable[..., None]:
        """Returns a step that reports its failure instead of raising.

        Args:
          name: name of the task, for the log.
          step: the step; its result is dropped.
        """

        def run(*arguments: Any) -> None:
            try:
                step(*arguments)
            except Exception:  # A step may read anything that others write.
                self._report(name)

        return run

    async def keep_running(
        self, reactor: Any, name: str, run: Callable[[], Awaitable[None]]
    ) -> None:
        """Runs a task, and starts it again when it fails.

        Args:
          reactor: the Twisted reactor.
          name: name of the task, for the log.
          run: the task; it ends only by cancellation.
        """
        while True:
            try:
                await run()
            except defer.CancelledError:
                raise
            except Exception:  # Everything else depends on these tasks.
                self._report(name)
            await task.deferLater(reactor, _RESTART_S, lambda: None)

    def _report(self, name: str) -> None:
        self._counters.count("tasks.failed")
        self._log.error(
            "task_failed", task=name, reason=traceback.format_exc(limit=-5)
        )
