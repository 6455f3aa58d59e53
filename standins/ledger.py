"""A stand-in for a ledger engine, whose requests must run at most once."""

import collections
from typing import Any

from twisted.internet import reactor as default_reactor
from twisted.web import server

from standins import common
from standins import options


class Ledger(common.App):
    """Runs every request it receives and counts the runs by key."""

    def __init__(self, reactor: Any = default_reactor):
        super().__init__(reactor)
        self._runs = 0
        self._by_key: collections.Counter[str] = collections.Counter()
        self._by_request: collections.Counter[str] = collections.Counter()
        self._busy_until = 0.0
        self._delay_s = 0.0
        self._answers_to_drop = 0
        self.route("GET", "/count", self._count)
        self.route("GET", "(/.*)", self._run)
        self.route("POST", "(/.*)", self._run)

    def inject_fault(self, name: str, value: Any) -> None:
        """Injects one kind of failure."""
        match name:
            case "busy_s":
                self._busy_until = self.reactor.seconds() + value
            case "delay_s":
                self._delay_s = value
            case "drop_answers":
                self._answers_to_drop = value
            case _:
                super().inject_fault(name, value)

    def _count(self, request: server.Request) -> common.Reply:
        return common.json_reply(
            {
                "runs": self._runs,
                "by_key": self._by_key,
                "by_request": self._by_request,
            }
        )

    def _run(self, request: server.Request, path: str) -> Any:
        if self.reactor.seconds() < self._busy_until:
            headers = (("X-Not-Started", "1"), ("Retry-After", "1"))
            return common.Reply(503, b"busy\n", headers)
        request_id = request.getHeader("X-Request-Id") or ""
        self._runs += 1
        self._by_request[request_id] += 1
        self._by_key[request.getHeader("X-Key") or ""] += 1
        if self._answers_to_drop > 0:
            self._answers_to_drop -= 1
            common.close_without_answer(request)
            return None
        answer = {"path": path, "run": self._runs, "request_id": request_id}
        reply = common.json_reply(answer, 200, (("X-Request-Id", request_id),))
        if self._delay_s:
            self.reactor.callLater(self._delay_s, self._send, reply, request)
            return None
        return reply


def main(chosen: options.ServerOptions, role: str = "ledger") -> None:
    """Runs the stand-in for a ledger engine until SIGTERM."""
    vm = {"name": chosen.name, "role": role, "domain": chosen.domain}
    common.serve(Ledger(), chosen.host, chosen.port, chosen.platform, vm)


if __name__ == "__main__":
    options.run(main, options.ServerOptions)
