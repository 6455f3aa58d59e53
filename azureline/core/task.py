"""Tasks that own their state and communicate by messages.

A task handles the messages of its mailbox one after another in one coroutine,
so no two handlers access its state at the same time.  Resources on the task's
exit stack are closed when the task stops.
"""

import contextlib
from typing import Any
from typing import Generic
from typing import TypeVar

from absl import logging
from twisted.internet import defer

M = TypeVar("M")


class _Stop:
    """Mailbox message that ends the task's loop."""


class Task(Generic[M]):
    """A coroutine with a mailbox; subclasses implement `handle`."""

    def __init__(self, name: str):
        self.name = name
        self.exit_stack = contextlib.ExitStack()
        self._mailbox: defer.DeferredQueue[Any] = defer.DeferredQueue()
        self._done: defer.Deferred[None] | None = None

    def start(self) -> None:
        """Starts reading the mailbox."""
        self._done = defer.ensureDeferred(self._run())

    def post(self, message: M) -> None:
        """Puts a message into the mailbox and returns at once."""
        self._mailbox.put(message)

    def stop(self) -> defer.Deferred[None]:
        """Handles the queued messages, then closes the exit stack.

        Returns:
          A deferred that fires when the task has ended.
        """
        if self._done is None:
            self.exit_stack.close()
            return defer.succeed(None)
        self._mailbox.put(_Stop())
        return self._done

    async def handle(self, message: M) -> None:
        """Handles one message."""
        raise NotImplementedError

    async def _run(self) -> None:
        with self.exit_stack:
            while True:
                message = await self._mailbox.get()
                if isinstance(message, _Stop):
                    return
                try:
                    await self.handle(message)
                except Exception:  # A failed message must not end the task.
                    logging.exception("task=%s event=message_failed", self.name)
