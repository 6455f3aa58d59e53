"""HTTP requests whose bodies stay in memory, within a bound.

Twisted's own class writes bodies of 100 kB and more to a temporary file, and
the VMs have no disk.
"""

import io

from twisted.web import server

from azureline.callers import answer
from azureline.core import errors

DEFAULT_MAX_BODY_BYTES = 1 << 20


class MemoryRequest(server.Request):
    """A request that refuses a body over the site's bound."""

    def __init__(self, channel, *args, **kwargs):
        """Creates a request; see `twisted.web.server.Request`."""
        super().__init__(channel, *args, **kwargs)
        self._body_bytes = 0
        self._too_large = False

    def gotLength(self, length):  # noqa: D102, N802
        self.content = io.BytesIO()
        self._too_large = (length or 0) > self._bound()

    def handleContentChunk(self, data):  # noqa: D102, N802
        self._body_bytes += len(data)
        if self._body_bytes > self._bound():
            self._too_large = True
        if not self._too_large:
            self.content.write(data)

    def process(self):
        """Refuses a body that is too large, else renders the resource."""
        if not self._too_large:
            super().process()
            return
        refusal = errors.Refusal(
            errors.ErrorKind.BODY_TOO_LARGE,
            f"The body may have up to {self._bound()} bytes.",
        )
        self.channel.site.refused(refusal)
        answer.write_refusal(self, refusal, "")

    def _bound(self) -> int:
        site = self.channel.site
        return getattr(site, "max_body_bytes", DEFAULT_MAX_BODY_BYTES)
