"""A stand-in for a model engine: batching, streams, memory and orders."""

import json
import os
from typing import Any
import uuid

from twisted.internet import defer
from twisted.internet import reactor as default_reactor
from twisted.internet import task
from twisted.web import server

from azureline.backends import interface
from standins import answers
from standins import batch
from standins import common
from standins import endless
from standins import memory
from standins import options

SNAPSHOT_EVERY_S = 0.1
_CHARS_PER_TOKEN = 4


class Engine(common.App):
    """Serves the HTTP interface of one model engine."""

    def __init__(
        self, chosen: options.EngineOptions, reactor: Any = default_reactor
    ):
        super().__init__(reactor)
        self._options = chosen
        self._json_client = common.JsonClient(reactor, chosen.platform)
        self.memory = memory.EngineMemory(reactor, chosen, self._load)
        self._batch = batch.Batch(reactor, chosen, self.memory.free_unloading)
        self.memory.batch = self._batch
        for item in chosen.resident:
            model, _, size = item.partition("=")
            self.memory.add(*model.partition("@")[::2], int(size))
        self._incarnation = uuid.uuid4().hex
        self._sequence = 0
        self._snapshots: list[tuple[float, dict[str, Any]]] = []
        self._crash_on = ""
        self._endless = endless.EndlessAnswers(self.reactor)
        self._orders_to_lose = 0
        self._order_delay_s = 0.0
        self._loop = task.LoopingCall(self._take_snapshot)
        self._loop.clock = reactor
        self._loop.start(SNAPSHOT_EVERY_S)
        self.route("POST", "/v1/chat/completions", self._generate)
        self.route("GET", "/v1/streams/([^/]+)", self._resume)
        self.route("DELETE", "/v1/streams/([^/]+)", self._cancel)
        self.route("POST", "/orders", self._order)
        self.route("GET", "/report", self._report)

    def close(self) -> defer.Deferred[None]:
        """Stops all timers and closes idle connections."""
        self._loop.stop()
        self._batch.close()
        return self._json_client.close()

    def inject_fault(self, name: str, value: Any) -> None:
        """Injects one kind of failure."""
        match name:
            case "crash_on":
                self._crash_on = value
            case "lose_orders":
                self._orders_to_lose = value
            case "order_delay_s":
                self._order_delay_s = value
            case "endless":
                self._endless.fault = endless.EndlessFault(**value)
            case "drop_streams":
                self._batch.abort_connections()
            case _:
                super().inject_fault(name, value)

    def _generate(self, request: server.Request) -> Any:
        call = common.read_json(request)
        messages, model = call["messages"], call["model"]
        adapter = call.get("adapter") or ""
        prompt = json.dumps(messages)
        if self._crash_on and self._crash_on in prompt:
            os._exit(1)
        if self._endless.takes():
            headers = (("X-Request-Id", call["request_id"]),)
            return defer.ensureDeferred(self._endless.send(request, headers))
        if not self.memory.is_ready(model, adapter):
            return common.json_reply({"error": "not resident"}, 404)
        if self._batch.get(call["request_id"]) is not None:
            return common.json_reply({"error": "request id in use"}, 409)
        max_tokens = int(call.get("max_tokens") or 16)
        length = len(prompt) // _CHARS_PER_TOKEN + max_tokens
        cache_bytes = length * self._options.cache_bytes_per_token
        if not self.memory.reserve(cache_bytes):
            return common.json_reply({"error": "cache is full"}, 429)
        tokens = answers.tokens(model, adapter, messages, max_tokens)
        stream = batch.Stream(call, tokens, cache_bytes)
        self._batch.add(stream)
        self._attach(stream, request, 0)
        return None

    def _attach(
        self, stream: batch.Stream, request: server.Request, offset: int
    ) -> None:
        request.setHeader("Content-Type", "text/event-stream")
        request.setHeader("X-Request-Id", stream.request_id)
        load = f"{self._batch.running},{self._batch.queued}"
        request.setHeader("X-Load", load)
        closed = request.notifyFinish()
        closed.addErrback(lambda _: self._batch.detach(stream, request))
        stream.attach(request, offset)

    def _resume(self, request: server.Request, request_id: str) -> Any:
        offset = int(request.args.get(b"from", [b"0"])[0])
        stream = self._batch.get(request_id)
        if stream is None:
            return common.json_reply({"error": "no such stream"}, 404)
        if not 0 <= offset <= stream.produced:
            return common.json_reply({"error": "offset not reached"}, 416)
        self._attach(stream, request, offset)
        return None

    def _cancel(self, request: server.Request, request_id: str) -> Any:
        known = self._batch.cancel(request_id)
        return common.json_reply({}, 200 if known else 404)

    def _order(self, request: server.Request) -> Any:
        if self._orders_to_lose > 0:
            self._orders_to_lose -= 1
            common.close_without_answer(request)
            return None
        sent = common.read_json(request)
        kind = interface.OrderKind(sent.pop("kind"))
        sent_age_s = float(sent.pop("sent_age", 0.0))
        order = interface.Order(kind=kind, **sent)
        if not self._order_delay_s:
            return self._execute_order(order, sent_age_s)
        return task.deferLater(
            self.reactor,
            self._order_delay_s,
            self._execute_order,
            order,
            sent_age_s,
        )

    def _execute_order(
        self, order: interface.Order, sent_age_s: float
    ) -> common.Reply:
        result = self.memory.execute(order, sent_age_s)
        return common.json_reply({"result": result.value})

    def _load(self, kind: interface.OrderKind, size: int, loaded: Any) -> None:
        if not self._options.platform:
            self.reactor.callLater(0, loaded)
            return
        load: dict[str, Any] = {"engine": self._options.name}
        if kind is interface.OrderKind.LOAD_ADAPTER:
            load |= {
                "kind": "adapter",
                "seconds": self._options.adapter_ms / 1000,
            }
        else:
            load |= {"kind": "model", "bytes": size}
        done = defer.ensureDeferred(
            self._json_client.post("/store/loads", load)
        )
        done.addCallback(lambda _: loaded())
        done.addErrback(lambda _: None)  # A failed load never finishes.

    def _take_snapshot(self) -> None:
        self._sequence += 1
        now = self.reactor.seconds()
        state, rules = self.memory, self.memory.options
        report = interface.Report(
            engine=self._options.name,
            incarnation=self._incarnation,
            sequence=self._sequence,
            age_s=0.0,
            capacity_bytes=rules.memory_bytes,
            cache_bytes=self._batch.cache_bytes,
            models=tuple(state.models.values()),
            adapters=tuple(state.adapters.values()),
            running=self._batch.running,
            queued=self._batch.queued,
            last_order_id=state.last_order_id,
            fence=state.fence,
            fences=rules.fences,
            draining=False,
        )._asdict()
        report["models"] = [r._asdict() for r in report["models"]]
        report["adapters"] = [r._asdict() for r in report["adapters"]]
        report |= {"overcommits": state.overcommits, "role": state.role}
        self._snapshots.append((now, report))
        lag_s = self._options.report_lag_s
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= now - lag_s:
            self._snapshots.pop(0)

    def _report(self, request: server.Request) -> common.Reply:
        taken_at, report = self._snapshots[0]
        age_s = self.reactor.seconds() - taken_at
        return common.json_reply({**report, "age_s": age_s})


def main(chosen: options.EngineOptions) -> None:
    """Runs the stand-in for a model engine until SIGTERM."""
    vm = {"name": chosen.name, "role": "engine", "domain": chosen.domain}
    engine = Engine(chosen)
    common.serve(engine, chosen.host, chosen.port, chosen.platform, vm)


if __name__ == "__main__":
    options.run(main, options.EngineOptions)
