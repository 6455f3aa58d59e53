"""Tasks that own their state and talk by messages.

A task reads its mailbox in one coroutine, so its state is never touched by
two pieces of code at once.  What a task has opened is closed by its exit
stack when it stops.
"""

import contextlib
from typing import Any
from typing import Generic
from typing import TypeVar

from absl import logging
from twisted.internet import defer

M = TypeVar("M")


class _Stop:
    """Ends a task's loop when it is read from the mailbox."""


class Task(Generic[M]):
    """A coroutine with a mailbox; subclasses define `handle`."""

    def __init__(self, name: str):
        self.name = name
        self.stack = contextlib.ExitStack()
        self._mailbox: defer.DeferredQueue[Any] = defer.DeferredQueue()
        self._done: defer.Deferred[None] | None = None

    def start(self) -> None:
        """Starts reading the mailbox."""
        self._done = defer.ensureDeferred(self._run())

    def post(self, message: M) -> None:
        """Puts a message into the mailbox and returns at once."""
        self._mailbox.put(message)

    def stop(self) -> defer.Deferred[None]:
        """Handles what is in the mailbox, then closes what the task owns.

        Returns:
          A deferred that fires when the task has ended.
        """
        if self._done is None:
            self.stack.close()
            return defer.succeed(None)
        self._mailbox.put(_Stop())
        return self._done

    async def handle(self, message: M) -> None:
        """Acts on one message."""
        raise NotImplementedError

    async def _run(self) -> None:
        with self.stack:
            while True:
                message = await self._mailbox.get()
                if isinstance(message, _Stop):
                    return
                try:
                    await self.handle(message)
                except Exception:  # One bad message must not end the task.
                    logging.exception("task=%s event=message_failed", self.name)
