"""Request bodies that are kept in memory.

Twisted writes bodies of 100 kB and more to a temporary file, but the VMs have
no disk.
"""

import io
from typing import Any


class MemoryBody:
    """Mixin for Twisted request classes that limits the size of the body."""

    content: Any

    def __init__(self, *args: Any, **kwargs: Any):
        """Creates a request; see `twisted.web.http.Request`."""
        super().__init__(*args, **kwargs)
        self._body_bytes = 0
        self._too_large = False

    def max_body_bytes(self) -> int:
        """Returns the maximum size of a request body in bytes."""
        raise NotImplementedError

    def gotLength(self, length):  # noqa: D102, N802
        self.content = io.BytesIO()
        self._too_large = (length or 0) > self.max_body_bytes()

    def handleContentChunk(self, data):  # noqa: D102, N802
        self._body_bytes += len(data)
        if self._body_bytes > self.max_body_bytes():
            self._too_large = True
        if not self._too_large:
            self.content.write(data)
