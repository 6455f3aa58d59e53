"""Builders for tests of the stand-ins within the test process."""

import json
from typing import Any
from typing import NamedTuple

from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task
from twisted.web import client
from twisted.web import http_headers

from standins import common
from standins import engine
from standins import options
from standins import platform

GB = 10**9


class Answer(NamedTuple):
    """A complete HTTP response."""

    status: int
    headers: Any
    body: bytes


async def call(
    url: str,
    method: str = "GET",
    value: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 10.0,
) -> Answer:
    """Makes one HTTP call on a new connection."""
    producer = None
    if value is not None:
        body = common.io.BytesIO(json.dumps(value).encode())
        producer = client.FileBodyProducer(body)
    header_lists = {name: [text] for name, text in (headers or {}).items()}
    request = client.Agent(reactor).request(
        method.encode(),
        url.encode(),
        http_headers.Headers(header_lists),
        producer,
    )
    response = await request.addTimeout(timeout_s, reactor)
    body = await client.readBody(response).addTimeout(timeout_s, reactor)
    return Answer(response.code, response.headers, body)


def serve(case: Any, app: common.App) -> str:
    """Serves a stand-in until the test ends; returns its URL."""
    port = reactor.listenTCP(0, app.site(), interface="127.0.0.1")
    case.addCleanup(_wait_for_closed_connections)
    case.addCleanup(app.close)
    case.addCleanup(port.stopListening)
    return f"http://127.0.0.1:{port.getHost().port}"


def sleep(seconds: float) -> defer.Deferred[None]:
    """Returns a deferred that fires after `seconds` of real time."""
    return task.deferLater(reactor, seconds)


async def run_until(app: common.App, pending: defer.Deferred[Any]) -> Any:
    """Advances a stand-in's own clock until the deferred has fired."""
    while not pending.called:
        advance(app, 0.1)
        await sleep(0.001)
    return await pending


def advance(app: common.App, seconds: float) -> None:
    """Advances a stand-in's own clock in small steps."""
    app.reactor.pump([0.02] * round(seconds * 50))


def platform_app(clock: Any = None, **fields: Any) -> platform.Platform:
    """Returns a platform without delays; its default clock is manual."""
    fields = {"answer_ms": 0.0, "vm_lag_s": 0.0, **fields}
    chosen = options.PlatformOptions(**fields)
    return platform.Platform(chosen, clock or task.Clock())


def engine_app(clock: Any = None, **fields: Any) -> engine.Engine:
    """Returns an engine with a 10 GB model; its default clock is manual."""
    fields = {"report_lag_s": 0.0, **fields}
    chosen = options.EngineOptions(resident=[f"seam@1={10 * GB}"], **fields)
    return engine.Engine(chosen, clock or task.Clock())


def chat(request_id: str, **fields: Any) -> dict[str, Any]:
    """Returns the body of a generation request for five tokens."""
    return {
        "request_id": request_id,
        "model": "seam",
        "messages": [{"role": "user", "content": "which chuck"}],
        "max_tokens": 5,
        **fields,
    }


def order(order_id: str, kind: str, target: str, **fields: Any) -> Any:
    """Returns the body of an order for 10 GB."""
    return {
        "order_id": order_id,
        "kind": kind,
        "target": target,
        "version": "1",
        "fence": 1,
        "expires_in_s": 5.0,
        "bytes_needed": 10 * GB,
        **fields,
    }


def _wait_for_closed_connections() -> defer.Deferred[None]:
    return sleep(0.02)
