"""HTTP requests whose bodies are kept in memory, with a size limit."""

from twisted.web import server

from azureline.callers import answer
from azureline.core import errors
from azureline.util import memory_body

DEFAULT_MAX_BODY_BYTES = 1 << 20


class MemoryRequest(memory_body.MemoryBody, server.Request):
    """A request that refuses a body larger than the site's limit."""

    def process(self):
        """Refuses a body that is too large, else renders the resource."""
        if not self._too_large:
            super().process()
            return
        refusal = errors.Refusal(
            errors.ErrorKind.BODY_TOO_LARGE,
            f"The body may have up to {self.max_body_bytes()} bytes.",
        )
        self.channel.site.refused(refusal)
        answer.write_refusal(self, refusal, "")

    def max_body_bytes(self) -> int:
        """Returns the maximum size of a request body in bytes."""
        site = self.channel.site
        return getattr(site, "max_body_bytes", DEFAULT_MAX_BODY_BYTES)
