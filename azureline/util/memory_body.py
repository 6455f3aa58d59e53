"""Request bodies that are kept in memory.

Twisted writes bodies of 100 kB and more to a temporary file, but the VMs have
no disk.
"""

import io
from typing import Any

from azureline.core import errors
from azureline.util import bodies
from azureline.util import memory_budget

# A caller that sends more than this beyond the limit is cut off, as its body
# may have no end. Others get an answer once their body has been read.
MAX_DISCARDED_BYTES = 16 << 20
# Seconds after which a caller may come back whose body had no room in memory.
_NO_MEMORY_RETURN_S = 0.5


class MemoryBody:
    """Mixin for Twisted request classes that limits the size of the body.

    A body that is too large, or for which there is no memory, is read and
    discarded. The connection of a body in too many small parts is aborted.
    """

    content: Any
    channel: Any

    def __init__(self, *args: Any, **kwargs: Any):
        """Creates a request; see `twisted.web.http.Request`."""
        super().__init__(*args, **kwargs)
        self._body_bytes = 0
        self._body_parts = 0
        self._too_large = False
        self._no_memory = False
        self._reservation: memory_budget.Reservation | None = None

    def max_body_bytes(self) -> int:
        """Returns the maximum size of a request body in bytes."""
        raise NotImplementedError

    def body_budget(self) -> memory_budget.MemoryBudget | None:
        """Returns the budget that all bodies share; None if there is none."""
        return None

    def gotLength(self, length):  # noqa: D102, N802
        self.content = io.BytesIO()
        self._too_large = (length or 0) > self.max_body_bytes()
        budget = self.body_budget()
        if budget is not None and not self._too_large:
            self._reservation = budget.reserve()
            self._no_memory = not budget.has_room(length or 0)

    def handleContentChunk(self, data):  # noqa: D102, N802
        self._body_bytes += len(data)
        self._body_parts += 1
        if self._body_bytes > self.max_body_bytes():
            self._too_large = True
        if not self._too_large and not self._no_memory:
            reservation = self._reservation
            self._no_memory = reservation is not None and not reservation.grow(
                len(data)
            )
        if self._is_endless():
            self._too_large = True
            self.channel.transport.abortConnection()
        if self._too_large or self._no_memory:
            self.release_body()
        else:
            self.content.write(data)

    def _is_endless(self) -> bool:
        """Returns whether to cut the caller off instead of answering."""
        if bodies.has_too_many_parts(self._body_parts, self._body_bytes):
            return True
        return self._body_bytes > self.max_body_bytes() + MAX_DISCARDED_BYTES

    def body_refusal(self) -> errors.Refusal | None:
        """Returns why the request is refused for its body, or None."""
        if self._too_large:
            return errors.Refusal(
                errors.ErrorKind.BODY_TOO_LARGE,
                f"The body may have up to {self.max_body_bytes()} bytes.",
            )
        if self._no_memory:
            return errors.Refusal(
                errors.ErrorKind.OVERLOADED,
                "The bodies of other requests use the node's memory.",
                retry_after=_NO_MEMORY_RETURN_S,
            )
        return None

    def take_body(self) -> bytes:
        """Returns the body, which the request does not keep.

        Its memory counts as used until `release_body` is called.
        """
        content, self.content = self.content, io.BytesIO()
        return content.getvalue()

    def release_body(self) -> None:
        """Drops the body and gives its memory back."""
        self.content = io.BytesIO()
        if self._reservation is not None:
            self._reservation.release()
