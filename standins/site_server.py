"""A stand-in for a backend server of the users' platform.

With models it is an engine that loads and unloads them by orders; without, it
is a plain service.  It records requests and orders, so that tests can check
the system's guarantees.
"""

import base64
import json
import time
from typing import Any
from typing import NamedTuple

from twisted.internet import defer
from twisted.internet import reactor as default_reactor
from twisted.internet import task
from twisted.web import server

from standins import common
from standins import endless
from standins import options
from standins import site_faults
from standins import site_records

REQUEST_ID = "Azureline-Request-Id"
SERVER_SEAL = "Azureline-Server-Seal"
NOT_RUN = "Azureline-Not-Executed"
MODEL = "Azureline-Model"
EXPECT_INSTANCE = "Azureline-Expect-Instance"
_LEAVING_HEADER = ("Server-Leaving", "1")
_CONTROL_PATHS = (b"/report", b"/order", b"/healthz")


class _PendingOrder(NamedTuple):
    verb: str
    model: str


class SiteServer(common.App):
    """One backend server; takes its time from the reactor's clock."""

    def __init__(
        self, chosen: options.SiteServerOptions, reactor: Any = default_reactor
    ):
        """Creates a server that is not registered in the store yet."""
        super().__init__(reactor)
        self._options = chosen
        self.server_id = chosen.name
        self.models: dict[str, set[str]] = {m: set() for m in chosen.resident}
        self.sequence = 0
        self.entry_sequence = 0
        self.state = "ready"
        self.runs: list[site_records.StartedRequest] = []
        self.orders: list[dict[str, Any]] = []
        self.overcommits = 0
        self.crash_times: list[float] = []
        self.caused_crashes: list[site_records.CausedCrash] = []
        self.arrivals: list[site_records.ReceivedRequest] = []
        self.control_calls: list[site_records.ControlCall] = []
        self.limits: list[site_records.NamedLimit] = []
        self.leaving = False
        self._pause_fault = site_faults.PauseFault(0.0)
        self._pause_until = 0.0
        self._limit_per_s: float | None = None
        self._limit_end: Any = None
        self.born = chosen.born
        # Whether the server is down, between a crash and its restart.
        self.down = False
        self._crash_fault: site_faults.CrashFault | None = None
        self._pending_order: _PendingOrder | None = None
        self._running = 0
        # How often each fault that is injected N times still happens.
        self._faults_left: dict[str, int] = {}
        self._endless = endless.EndlessAnswers(reactor)
        self._endless_control = endless.EndlessAnswers(reactor)
        self.route("GET", "/report", self._report)
        self.route("POST", "/order", self._order)
        self.route("GET", "/healthz", self._health)
        self.route("GET", "/runs", self._recorded)
        self.route("(GET|POST)", "/.*", self._serve)

    def route(self, method: str, pattern: str, handler: Any) -> None:
        """Adds a handler; `method` may be an alternation, as "(GET|POST)"."""
        for verb in method.strip("()").split("|"):
            super().route(verb, pattern, handler)

    def inject_fault(self, name: str, value: Any) -> None:
        """Injects one kind of failure.

        `reset` aborts the connections of the next N requests after they
        start; `cut` aborts those of the next N streams after two events; `mute`
        leaves the next N requests without a reply;
        `late_orders` executes the next N orders 1 s late and without a reply;
        `drain` publishes the state "draining"; `deadly` (`mark`,
        `parts`, `after_s`, `back_s` and more, see `site_faults.CrashFault`)
        crashes the server after it starts a matching request and restarts it;
        `leave`
        announces in every reply that the server is leaving, stops it after
        that many seconds and restarts it 1 s later; `pause` (`seconds`,
        `for_s`) asks nodes for `for_s` seconds to pause for `seconds`;
        `limit` (`per_s`, `for_s`) names a limit in all replies for `for_s`
        seconds; `endless` answers a share of requests without an end, see
        `endless.EndlessFault`, and `endless_control` does so with reports,
        answers to orders and health checks.
        """
        match name:
            case "leave":
                self.leaving = True
                self.reactor.callLater(value, self._crash, 1.0)
            case "pause":
                self._pause_fault = site_faults.PauseFault(**value)
                now = self.reactor.seconds()
                self._pause_until = now + self._pause_fault.for_s
            case "limit":
                self._set_limit(site_faults.LimitFault(**value))
            case "endless":
                self._endless.fault = endless.EndlessFault(**value)
            case "endless_control":
                self._endless_control.fault = endless.EndlessFault(**value)
            case "deadly":
                self._crash_fault = site_faults.CrashFault(**value)
            case "reset" | "cut" | "mute" | "late_orders":
                self._faults_left[name] = value
            case "drain":
                self.state = "draining"
            case _:
                super().inject_fault(name, value)

    def entry(self) -> dict[str, Any]:
        """Returns the next entry that the server writes into the store."""
        self.entry_sequence += 1
        return {
            "service": self._options.service,
            "address": self._options.address,
            "zone": self._options.domain,
            "version": self._options.version,
            "slots": self._options.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "models": self._model_rows(),
            "sequence": self.entry_sequence,
            "born": self.born,
        }

    def _set_limit(self, fault: site_faults.LimitFault) -> None:
        if self._limit_end is not None and self._limit_end.active():
            self._limit_end.cancel()
        self._limit_per_s = fault.per_s
        self.limits.append(
            site_records.NamedLimit(self.reactor.seconds(), fault.per_s)
        )
        self._limit_end = self.reactor.callLater(fault.for_s, self._end_limit)

    def _end_limit(self) -> None:
        if self._limit_per_s is not None:
            self._limit_per_s = None
            self.limits.append(
                site_records.NamedLimit(self.reactor.seconds(), -1.0)
            )

    def _notices(self) -> tuple[tuple[str, str], ...]:
        """Returns the headers in which the server reports its state."""
        notices = (_LEAVING_HEADER,) if self.leaving else ()
        if self._limit_per_s is not None:
            notices = (*notices, ("Server-Limit", f"{self._limit_per_s:g}"))
        return notices

    def _send(self, reply: common.Reply, request: server.Request) -> None:
        reply = reply._replace(headers=(*reply.headers, *self._notices()))
        if request.path in _CONTROL_PATHS and self._endless_control.takes():
            defer.ensureDeferred(
                self._endless_control.send(request, reply.headers)
            )
            return
        super()._send(reply, request)

    def _model_rows(self) -> list[dict[str, Any]]:
        return [
            {"name": name, "version": 1, "adapters": sorted(adapters)}
            for name, adapters in self.models.items()
        ]

    def _report(self, request: server.Request) -> common.Reply:
        self._record_control_call("report")
        return common.json_reply(
            {
                "stage": "prefill_decode",
                "models": self._model_rows(),
                "busy": self._pending_order is not None,
                "sequence": self.sequence,
                "queued_reqs": 0,
                "running_reqs": self._running,
                "born": self.born,
                "at_hand": {"in_memory": [], "on_disk": list(self.models)},
            }
        )

    def _record_control_call(self, kind: str) -> None:
        now = self.reactor.seconds()
        self.control_calls.append(site_records.ControlCall(kind, now))

    def _recorded(self, request: server.Request) -> common.Reply:
        return common.json_reply(
            {
                "runs": [run._asdict() for run in self.runs],
                "orders": self.orders,
                "overcommits": self.overcommits,
                "ends": self.crash_times,
                "caused_crashes": [c._asdict() for c in self.caused_crashes],
                "arrivals": [row._asdict() for row in self.arrivals],
                "control_calls": [c._asdict() for c in self.control_calls],
                "limits": [limit._asdict() for limit in self.limits],
                "models": self._model_rows(),
            }
        )

    def _health(self, request: server.Request) -> common.Reply:
        status = 200 if self.state == "ready" else 503
        return common.Reply(
            status, b"", (("Azureline-Instance-Id", self.server_id),)
        )

    def _order(self, request: server.Request) -> common.Reply | None:
        self._record_control_call("order")
        if self._expects_other_server(request):
            return _not_run(421)
        order = common.read_json(request)
        if "holder" not in order or "fencing_token" not in order:
            return common.Reply(400)
        if self._takes_fault("late_orders"):
            self.reactor.callLater(1.0, self._execute_order, order)
            return None
        return common.Reply(self._execute_order(order))

    def _execute_order(self, order: dict[str, Any]) -> int:
        self.orders.append({**order, "at": self.reactor.seconds()})
        expected = order.get("expected", self.sequence)
        if self._pending_order is not None or expected != self.sequence:
            return 409
        self.sequence += 1
        model, adapter = order["model"], order.get("adapter", "")
        if adapter:
            return self._change_adapter(order["op"], model, adapter)
        self._pending_order = _PendingOrder(order["op"], model)
        if order["op"] == "load" and len(self.models) >= self._options.places:
            self.overcommits += 1
        self.reactor.callLater(self._options.load_s, self._finish_order)
        return 202

    def _change_adapter(self, verb: str, model: str, adapter: str) -> int:
        loaded = self.models.get(model)
        if loaded is None:
            return 400
        if verb == "unload":
            loaded.discard(adapter)
            return 200
        loaded.add(adapter)
        count = sum(len(adapters) for adapters in self.models.values())
        if count > self._options.adapter_places:
            self.overcommits += 1
        return 202

    def _finish_order(self) -> None:
        order, self._pending_order = self._pending_order, None
        assert order is not None
        if order.verb == "load":
            self.models.setdefault(order.model, set())
        else:
            self.models.pop(order.model, None)

    def _serve(self, request: server.Request) -> Any:
        request_id = request.getHeader(REQUEST_ID) or ""
        if not request_id:
            return _not_run(400)
        now = self.reactor.seconds()
        pause_s = self._pause_fault.seconds if now < self._pause_until else 0.0
        self.arrivals.append(
            site_records.ReceivedRequest(
                request_id, now, self.born, self.leaving, pause_s
            )
        )
        if pause_s:
            return _not_run(503, ("Retry-After", f"{pause_s:.2f}"))
        if self._expects_other_server(request):
            return _not_run(421)
        model, _, adapter = (request.getHeader(MODEL) or "").partition("/")
        if model and adapter not in {"", *self.models.get(model, ())}:
            return _not_run(421)
        if model and model not in self.models:
            return _not_run(421)
        if self._running >= self._options.slots:
            return _not_run(503)
        self.runs.append(site_records.StartedRequest(request_id, now, model))
        fault = self._crash_fault
        if fault is not None and site_faults.is_deadly(fault, request):
            self.reactor.callLater(
                fault.after_s, self._crash_by, request_id, fault, self.born
            )
            return self._begin_deadly(request, request_id, fault)
        if self._takes_fault("mute"):
            return None
        if self._takes_fault("reset"):
            common.close_without_answer(request)
            return None
        return defer.ensureDeferred(self._answer_run(request, request_id))

    def _begin_deadly(
        self,
        request: server.Request,
        request_id: str,
        fault: site_faults.CrashFault,
    ) -> Any:
        """Does what a deadly request's server still does before its crash."""
        if fault.answer == "lost":
            common.close_without_answer(request)
        elif fault.answer:
            answer = common.Reply(int(fault.answer), b"", _headers(request_id))
            return task.deferLater(self.reactor, fault.answer_s, lambda: answer)
        elif fault.events:
            self._start_stream(request, request_id)
            for number in range(fault.events):
                request.write(self._event(request_id, number, 99))
        return None

    def _crash_by(
        self, request_id: str, fault: site_faults.CrashFault, born: int
    ) -> None:
        if self.born != born:
            return  # The start that ran the request has crashed already.
        if not self.down:
            now = self.reactor.seconds()
            self.caused_crashes.append(
                site_records.CausedCrash(request_id, now)
            )
        self._crash(fault.back_s, fault.how, fault.cut_s)

    def _crash(
        self, back_s: float, how: str = "reset", cut_s: float = 0.0
    ) -> None:
        """Ends the server, which restarts after `back_s` seconds.

        Args:
          back_s: seconds until it runs and renews its entry again.
          how: see `site_faults.CrashFault`.
          cut_s: seconds until a "cut" path heals.
        """
        if self.down:
            return
        self.down = True
        self.crash_times.append(self.reactor.seconds())
        if how == "reset":
            self.close_connections()
        else:
            self.fall_silent()
        self.reactor.callLater(back_s, self._restart)
        heals_s = max(back_s, cut_s) if how == "cut" else back_s
        self.reactor.callLater(heals_s, self._reconnect)

    def _restart(self) -> None:
        self.down = False
        self.born = int(time.time() * 1000)
        self.models = {}
        self.leaving = False
        self._end_limit()
        self.sequence = self.entry_sequence = 0
        self._pending_order = None

    def _reconnect(self) -> None:
        self.end_silence()
        self.listen(self._options.host, self._options.port)

    def _takes_fault(self, name: str) -> bool:
        """Returns whether a fault that is injected N times happens now."""
        left = self._faults_left.get(name, 0)
        self._faults_left[name] = max(0, left - 1)
        return left > 0

    async def _answer_run(
        self, request: server.Request, request_id: str
    ) -> common.Reply | None:
        if self._endless.takes():
            await self._endless.send(request, _headers(request_id))
            return None
        self._running += 1
        try:
            if self._options.models:
                await self._stream(request, request_id)
                return None
            await task.deferLater(self.reactor, self._options.work_s)
            body = f"{request_id} {request.uri.decode()}".encode()
            return common.Reply(200, body, _headers(request_id))
        finally:
            self._running -= 1

    async def _stream(self, request: server.Request, request_id: str) -> None:
        usage = request.getHeader("Azureline-Token-Usage") or "0,5"
        count = max(1, int(usage.partition(",")[2] or 5))
        last = request.getHeader("Last-Event-Id")
        self._start_stream(request, request_id)
        first = int(last) + 1 if last else 0
        for number in range(first, count):
            if number == first + 2 and self._takes_fault("cut"):
                common.close_without_answer(request)
                return
            await task.deferLater(self.reactor, self._options.work_s / 10)
            if not common.is_open(request):
                return
            request.write(self._event(request_id, number, count))
        request.finish()

    def _start_stream(self, request: server.Request, request_id: str) -> None:
        for name, value in (*_headers(request_id), *self._notices()):
            request.setHeader(name, value)
        request.setHeader("Content-Type", "text/event-stream")

    def _event(self, request_id: str, number: int, count: int) -> bytes:
        text = f"{request_id} {number}/{count} {self._options.version}"
        return f"id: {number}\ndata: {text}\n\n".encode()

    def _expects_other_server(self, request: server.Request) -> bool:
        expected = request.getHeader(EXPECT_INSTANCE)
        return expected is not None and expected != self.server_id


class Registration:
    """Rewrites a server's entry in the store at a regular interval."""

    def __init__(
        self, app: SiteServer, json_client: common.JsonClient, interval_s: float
    ):
        """Creates a registration that has not started."""
        self._app = app
        self._json_client = json_client
        self._interval_s = interval_s
        self._lease: int | None = None
        self._loop = task.LoopingCall(self._start_renewal)
        self._loop.clock = app.reactor

    def start(self) -> None:
        """Writes the entry now and every `interval_s` seconds."""
        self._loop.start(self._interval_s)

    def _start_renewal(self) -> Any:
        # The store may lose replies, so each renewal has a time limit; after
        # a failure the next one starts with a new lease.
        renewal = defer.ensureDeferred(self._renew())
        renewal.addTimeout(self._interval_s, self._app.reactor)
        return renewal.addErrback(self._forget_lease)

    async def _renew(self) -> None:
        if self._app.down:
            self._lease = None
            return
        if self._lease is None:
            ttl_ms = int(self._interval_s * 3000)
            answer = await self._json_client.post(
                "/kv-lease", {"ttl_ms": ttl_ms}
            )
            self._lease = answer["lease"]
        await self._json_client.post(f"/kv-keep/{self._lease}", {})
        value = json.dumps(self._app.entry()).encode()
        put = {
            "key": f"servers/{self._app.server_id}",
            "value": base64.b64encode(value).decode(),
            "lease": self._lease,
        }
        await self._json_client.post(
            "/kv-txn", {"expected": [], "puts": [put], "remove": []}
        )

    def _forget_lease(self, failure: Any) -> None:
        self._lease = None


def _headers(request_id: str) -> tuple[tuple[str, str], ...]:
    return ((REQUEST_ID, request_id), (SERVER_SEAL, f"seal-{request_id}"))


def _not_run(status: int, *headers: tuple[str, str]) -> common.Reply:
    return common.Reply(status, b"", ((NOT_RUN, "1"), *headers))


def main(chosen: options.SiteServerOptions) -> None:
    """Runs the stand-in for a backend server until SIGTERM."""
    address = f"{chosen.host}:{chosen.port}"
    app = SiteServer(chosen._replace(address=address))
    json_client = common.JsonClient(app.reactor, chosen.store)
    Registration(app, json_client, chosen.beat_s).start()
    common.serve(app, chosen.host, chosen.port)


if __name__ == "__main__":
    options.run(main, options.SiteServerOptions)
