"""A model that a later configuration adds is never loaded."""

import collections
import copy
import time
from typing import Any

from review.support2 import case
from review.support2 import site as sites
from review.support2 import streams
from tests import builders_relay
from tests import builders_site

NODES = builders_site.NODES
MODEL = "m3"
TOKENS = 5
BUDGET_MS = 15000
FIRST_VERSION = 7
LATER_VERSION = 9
# config_apply_ms of the sheets is 2 s; engines load a model within a second.
SETTLE_S = 10.0
# Requests on the routes, over this time.
REQUESTS = 24
INTERVAL_S = 0.5


def check(record: case.Record, has_trouble: bool) -> list[str]:
    """Adds a route, and with the disruption its model; compares routes."""
    later = builders_relay.site_document(version=LATER_VERSION)
    later["routes"].append(
        builders_relay.site_route(
            "/new/", "streaming", "llm", BUDGET_MS, gap_aim_ms=600
        )
    )
    _add_model(later)
    first = builders_relay.site_document(version=FIRST_VERSION)
    if not has_trouble:
        _add_model(first)
    engines = (
        sites.engine("engine-1", resident=["m0", "m1"], slots=64),
        sites.engine("engine-2", resident=["m0", "m2"], slots=64),
        sites.engine("engine-3", resident=["m0"], slots=64),
    )
    with sites.running(engines, document=first) as site:
        time.sleep(4.0)
        record.add(f"first version {FIRST_VERSION}: {_models(first)}")
        site.inject_fault("store", operator=later)
        record.add(f"acknowledged version {LATER_VERSION}: {_models(later)}")
        time.sleep(SETTLE_S)
        return _compare(record, site)


def _add_model(document: dict[str, Any]) -> None:
    """Adds a model that is like the others to a configuration."""
    models = document["services"][0]["engine"]["models"]
    models.append({**copy.deepcopy(models[0]), "name": MODEL})


def _models(document: dict[str, Any]) -> list[str]:
    engine = document["services"][0]["engine"]
    return [model["name"] for model in engine["models"]]


def _compare(record: case.Record, site: builders_site.Site) -> list[str]:
    urls = [site.processes.urls[name] for name in NODES]
    sent = []
    for number in range(REQUESTS):
        url = urls[number % len(urls)]
        sent.append(("first", streams.Stream(url, "/ask/x", TOKENS, BUDGET_MS)))
        sent.append(
            (
                "later",
                streams.Stream(url, "/new/x", TOKENS, BUDGET_MS, model=MODEL),
            )
        )
        time.sleep(INTERVAL_S)
    served: collections.Counter[str] = collections.Counter()
    for kind, stream in sent:
        stream.join()
        record.add(f"route added {kind}: {stream.line()}")
        served[kind] += stream.status == 200 and stream.complete
    for name in ("engine-1", "engine-2", "engine-3"):
        found = site.recorded(name)
        record.add(f"{name} holds {found['models']}, orders {found['orders']}")
    line = (
        f"of {REQUESTS} requests each {served['later']} on the later route are "
        f"served and {served['first']} on a first one"
    )
    record.add(line)
    return [line] if served["later"] < served["first"] / 4 else []


if __name__ == "__main__":
    case.run(__file__, check)
