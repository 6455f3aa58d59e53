"""A model engine whose runs take long, and which loses some answers.

It behaves like the project's stand-in but for the length of its runs: the
first token is made at once, and the events reach the caller when the run ends.
"""

import json
import random
from typing import Any

from twisted.internet import task
from twisted.web import server

from standins import common
from standins import options
from standins import site_server

# Bounds of the length of a run, in seconds.
MIN_RUN_S = 2.0
MAX_RUN_S = 3.0
EVENTS = 10


class SlowEngine(site_server.SiteServer):
    """An engine that is slow, and resets the connections of some requests."""

    def __init__(self, chosen: options.SiteServerOptions):
        """Creates an engine that loses no answer."""
        super().__init__(chosen)
        self._lost_share = 0.0
        self._rng = random.Random(1)
        self.finished: list[str] = []
        self.lost: list[str] = []
        self.route("GET", "/lost", self._lost)
        # Before the handler of all paths.
        self._routes.insert(0, self._routes.pop())

    def inject_fault(self, name: str, value: Any) -> None:
        """Also takes `lose`: the share of answers to lose."""
        if name == "lose":
            self._lost_share = value
        else:
            super().inject_fault(name, value)

    def _lost(self, request: server.Request) -> common.Reply:
        return common.Reply(200, json.dumps(self.lost).encode())

    async def _stream(self, request: server.Request, request_id: str) -> None:
        run_s = self._rng.uniform(MIN_RUN_S, MAX_RUN_S)
        loses = self._rng.random() < self._lost_share
        limit_ms = request.getHeader("Azureline-Request-Deadline") or "60000"
        # An engine stops its work at the time limit that it receives.
        limit_s = int(limit_ms) / 1000
        await task.deferLater(self.reactor, min(run_s, limit_s))
        if not common.is_open(request):
            return
        if run_s >= limit_s:
            for name, value in site_server._headers(request_id):
                request.setHeader(name, value)
            request.setResponseCode(504)
            request.finish()
        elif loses:
            self.lost.append(request_id)
            common.close_without_answer(request)
        else:
            self._start_stream(request, request_id)
            for number in range(EVENTS):
                request.write(self._event(request_id, number, EVENTS))
            request.finish()


def main(chosen: options.SiteServerOptions) -> None:
    """Runs the engine until SIGTERM."""
    address = f"{chosen.host}:{chosen.port}"
    app = SlowEngine(chosen._replace(address=address))
    json_client = common.JsonClient(app.reactor, chosen.store)
    site_server.Registration(app, json_client, chosen.beat_s).start()
    common.serve(app, chosen.host, chosen.port)


if __name__ == "__main__":
    options.run(main, options.SiteServerOptions)
