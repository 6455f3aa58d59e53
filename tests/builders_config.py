"""Builders of settings and configurations for tests."""

import copy
from typing import Any

from azureline.config import defaults
from azureline.config import schema
from azureline.config import structure

GIB = 2**30


def node_settings(name: str = "node-1", **changes: Any) -> schema.NodeSettings:
    """Returns a node's settings with some options changed."""
    document = {
        "name": name,
        "host": "127.0.0.1",
        "domain": "a",
        "platform": {"url": "http://127.0.0.1:7000"},
    }
    completed = defaults.complete(document, "node")
    settings = structure.typed(schema.NodeSettings, completed)
    return settings._replace(**changes)


def document(
    models: int = 4,
    engines: int = 3,
    model_gib: int = 10,
    engine_gib: int = 40,
    **sections: Any,
) -> dict[str, Any]:
    """Returns the short form of a configuration that can be served."""
    short = {
        "site": "test",
        "models": {
            f"model-{i}": {"memory_bytes": model_gib * GIB}
            for i in range(models)
        },
        "adapters": {
            "adapter-0": {"model": "model-0", "memory_bytes": 50 * 2**20}
        },
        "engines": {
            f"engine-{i}": {
                "domain": "abc"[i % 3],
                "memory_bytes": engine_gib * GIB,
            }
            for i in range(engines)
        }
        | {"ledger-0": {"role": "ledger", "domain": "a"}},
        "services": {
            "approvals": {"role": "ledger", "servers": ["ledger-*"]},
            "stock": {"servers": ["stock-0"], "idempotent": True},
        },
        "callers": {"bench": {"key_sha256": "0" * 64}},
    }
    return copy.deepcopy(short | sections)


def configuration(*args: Any, **kwargs: Any) -> schema.Configuration:
    """Returns the typed form of `document` with the same arguments."""
    completed = defaults.complete(document(*args, **kwargs), "configuration")
    return structure.typed(schema.Configuration, completed)
