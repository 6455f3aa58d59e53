"""After a change of a model's size engines are overcommitted."""

import time
from typing import Any

from review.support2 import case
from review.support2 import site as sites
from review.support2 import streams
from tests import builders_relay
from tests import builders_site

NODES = builders_site.NODES
MODEL = "m2"
LARGER_MB = 2 * builders_relay.MODEL_MB
TOKENS = 5
BUDGET_MS = 15000
ROUTE = builders_relay.site_route(
    "/long/", "streaming", "llm", BUDGET_MS, gap_aim_ms=600
)
RESIDENT = {"engine-1": ["m0", "m1"], "engine-2": ["m0", "m1"]}
# config_apply_ms of the sheets is 2 s.
SETTLE_S = 8.0
REQUESTS = 24
INTERVAL_S = 0.5


def check(record: case.Record, has_trouble: bool) -> list[str]:
    """Enlarges a model that no engine holds, then asks for it."""
    later = builders_relay.site_document(version=9)
    later["routes"].append(ROUTE)
    _model(later)["weights_mb"] = LARGER_MB
    first = builders_relay.site_document(version=7)
    if not has_trouble:
        _model(first)["weights_mb"] = LARGER_MB
    engines = tuple(
        sites.engine(name, resident=models, slots=64)
        for name, models in RESIDENT.items()
    )
    with sites.running(engines, document=first, routes=(ROUTE,)) as site:
        time.sleep(4.0)
        site.inject_fault("store", operator=later)
        record.add(f"acknowledged version 9: {MODEL} has {LARGER_MB:g} MB")
        time.sleep(SETTLE_S)
        urls = [site.processes.urls[name] for name in NODES]
        sent = []
        for number in range(REQUESTS):
            sent.append(
                streams.Stream(
                    urls[number % 3], "/long/x", TOKENS, BUDGET_MS, model=MODEL
                )
            )
            time.sleep(INTERVAL_S)
        for stream in sent:
            record.add(stream.join().line())
        return _overcommits(record, site, later)


def _model(document: dict[str, Any]) -> dict[str, Any]:
    models = document["services"][0]["engine"]["models"]
    return next(model for model in models if model["name"] == MODEL)


def _overcommits(record, site, document) -> list[str]:
    engine = document["services"][0]["engine"]
    sizes = {m["name"]: m["weights_mb"] for m in engine["models"]}
    breaks = []
    for name, models in RESIDENT.items():
        held = set(models)
        sequence = 0
        for order in site.recorded(name)["orders"]:
            record.add(f"{name} holds {sorted(held)}, gets {order}")
            if order.get("adapter") or order["expected"] != sequence:
                continue
            sequence += 1
            if order["op"] == "unload":
                held.discard(order["model"])
                continue
            held.add(order["model"])
            used = sum(sizes[m] for m in held)
            if used > engine["weights_mb"]:
                breaks.append(
                    f"{name} is ordered to hold {sorted(held)}: {used:g} MB, "
                    f"it has {engine['weights_mb']:g} MB"
                )
    return breaks


if __name__ == "__main__":
    case.run(__file__, check, "record-limit.txt")
