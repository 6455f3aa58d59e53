"""Builders for tests of the relay and of the platform's documents."""

import json
import random
from typing import Any

from azureline.relay import engines
from azureline.relay import messages
from azureline.relay import requests
from azureline.relay import routes
from azureline.relay import servers
from azureline.util import http1

MODEL_MB = 70000.0


def model(name: str, adapters: int = 0, **fields: Any) -> routes.Model:
    """Returns a model of `MODEL_MB` with typical load times."""
    values = {
        "size_mb": MODEL_MB,
        "adapter_mb": 60.0,
        "store_s": 4.0,
        "disk_s": 0.8,
        "memory_s": 0.4,
        **fields,
    }
    return routes.Model(name=name, adapters=adapters, **values)


def kind(*names: str, places: int = 3, **fields: Any) -> routes.EngineSpec:
    """Returns engines that hold `places` models and eight adapters."""
    models = {n: model(n, adapters=20) for n in names or ("a", "b", "c", "d")}
    values = {
        "slots": 64,
        "cache_tokens": 200000,
        "memory_mb": MODEL_MB * places + 1000,
        "adapter_places": 8,
        "host_mb": 150000.0,
        "disk_mb": MODEL_MB * 6,
        "loads_per_s": 1.4,
        "models": models,
        **fields,
    }
    return routes.EngineSpec(**values)


def resident(name: str, *adapters: str) -> servers.Resident:
    """Returns a model that an engine holds."""
    return servers.Resident(name, 1, adapters)


def server(name: str = "e1", *models: str, **fields: Any) -> Any:
    """Returns an engine's entry, or a plain server's without models."""
    values = {
        "service": "llm",
        "address": http1.Address("127.0.0.1", 9000),
        "domain": "d1",
        "slots": 64,
        "born_ms": 1,
        "models": tuple(resident(m) for m in models),
        **fields,
    }
    return servers.BackendServer(server_id=name, **values)


def route(name: str = "r", **fields: Any) -> routes.Route:
    """Returns a route of idempotent requests."""
    values = {
        "host": "ficu95.example",
        "prefix": "/a/",
        "kind": routes.Kind.IDEMPOTENT,
        "shares": (routes.Share("llm", 1.0),),
        "timeout_s": 5.0,
        "target_s": 1.0,
        "attempts": 2,
        "rank": 1,
        "sticky": False,
        "resumable": False,
        "gap_s": 0.6,
        **fields,
    }
    return routes.Route(name=name, **values)


def config(version: int, *found: routes.Route) -> routes.SiteConfig:
    """Returns a configuration with one service of engines."""
    service = routes.Service("llm", "/healthz", 100, kind())
    return routes.SiteConfig(version, found, {"llm": service}, routes.Limits())


def route_table() -> routes.RouteTable:
    """Returns a table without a configuration."""
    return routes.RouteTable(random.Random(1))


def request(**fields: Any) -> requests.CallerRequest:
    """Returns a caller's request."""
    values = {
        "request_id": "9c41d07be2a35f68",
        "method": b"GET",
        "target": b"/a/x?q=1",
        "host": "ficu95.example",
        "headers": (),
        "body": b"",
        **fields,
    }
    return requests.CallerRequest(**values)


def engine_view(
    name: str, *models: str, **fields: Any
) -> engines.EngineSnapshot:
    """Returns the planner's view of an engine."""
    return engines.EngineSnapshot(name, 1, "d1", models, **fields)


def demand(name: str, arrived: int = 0, **fields: Any) -> messages.ModelDemand:
    """Returns a node's demand for a model, by default with long prompts."""
    values = {
        "waiting": 0,
        "in_flight": 0,
        "refused": 0,
        "rank": 1,
        "reading_ms": 150 * arrived,
        "running_ms": 900 * arrived,
        "adapted_ms": 200 * arrived,
        "target_ms": 1000,
        "gap_ms": 570,
        "wait_limit_ms": 4800,
        **fields,
    }
    return messages.ModelDemand("llm", name, arrived, **values)


def engine_state(name: str = "e1", *models: str, **fields: Any) -> Any:
    """Returns the state that a lease holder publishes for its engine."""
    values = {
        "born_ms": 1,
        "sequence": 1,
        "models": tuple((m, ()) for m in models),
        "loading": "",
        "loading_ms": 0,
        "busy": False,
        "orders_after_ms": 0,
        "turn": 1,
        "serial": 1,
        **fields,
    }
    return messages.EngineState(server_id=name, **values)


def site_document(version: int = 7, **fields: Any) -> dict[str, Any]:
    """Returns the operators' configuration as the store holds it."""
    models = [
        {
            "name": name,
            "weights_mb": MODEL_MB,
            "load_s": 1.0,
            "adapters": 3,
            "adapter_mb": 60.0,
            "warm_s": 0.3,
            "disk_s": 0.3,
        }
        for name in ("m0", "m1", "m2")
    ]
    engine = {
        "slots": 16,
        "kv_capacity_tokens": 100000,
        "models": models,
        "weights_mb": 2 * MODEL_MB + 1000,
        "adapter_slots": 2,
        "loads_per_s": 2.0,
        "host_mb": 150000.0,
        "disk_mb": 440000.0,
    }
    return {
        "version": version,
        "routes": [
            site_route("/ask/", "streaming", "llm", 5000, max_attempts=1),
            site_route("/again/", "streaming", "llm", 5000, can_resume=True),
            site_route("/post/", "non_idempotent", "ledger", 1500),
            site_route("/look/", "idempotent", "ledger", 1500),
        ],
        "services": [
            {
                "name": "llm",
                "health_path": "/healthz",
                "max_conns": 300,
                "protocol": "h1",
                "tls": False,
                "engine": engine,
            },
            {
                "name": "ledger",
                "health_path": "/healthz",
                "max_conns": 100,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        **fields,
    }


def site_route(
    prefix: str, kind_name: str, service: str, timeout_ms: int, **fields: Any
) -> dict[str, Any]:
    """Returns a route as the store holds it."""
    return {
        "name": f"r{prefix}",
        "host": "site.example",
        "prefix": prefix,
        "route_type": kind_name,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 1000,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        **fields,
    }


def entry_document(**fields: Any) -> dict[str, Any]:
    """Returns a server's entry as the store holds it."""
    return {
        "service": "huvo11a",
        "address": "10.128.0.9:8080",
        "zone": "ub-north",
        "version": "v1",
        "slots": 64,
        "state": "ready",
        "cold_left_ms": 0,
        "stage": "prefill_decode",
        "models": [
            {"name": "daka510000", "version": 1, "adapters": ["a1", "a2"]}
        ],
        "sequence": 4,
        **fields,
    }


def as_json(document: Any) -> bytes:
    """Returns a document as JSON bytes."""
    return json.dumps(document).encode()
