"""HTTP requests whose bodies are kept in memory, with a size limit."""

from twisted.web import server

from azureline.callers import answer
from azureline.util import memory_body
from azureline.util import memory_budget

DEFAULT_MAX_BODY_BYTES = 1 << 20


class MemoryRequest(memory_body.MemoryBody, server.Request):
    """A request that refuses a body larger than the site's limit."""

    def process(self):
        """Refuses a body without room, else renders the resource."""
        refusal = self.body_refusal()
        if refusal is None:
            super().process()
            return
        self.channel.site.refused(refusal)
        answer.write_refusal(self, refusal, "")

    def finish(self):
        """Ends the response; the body's memory is free again."""
        super().finish()
        self.release_body()

    def connectionLost(self, reason):  # noqa: D102, N802
        super().connectionLost(reason)
        self.release_body()

    def body_budget(self) -> memory_budget.MemoryBudget | None:
        """Returns the memory for the bodies of all requests."""
        return getattr(self.channel.site, "body_budget", None)

    def max_body_bytes(self) -> int:
        """Returns the maximum size of a request body in bytes."""
        site = self.channel.site
        return getattr(site, "max_body_bytes", DEFAULT_MAX_BODY_BYTES)
