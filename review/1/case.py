"""Engines lose answers, by a reset, shortly before the route's timeout."""

import concurrent.futures
import json
import sys
import time
import urllib.request

from review import support
from tests import builders_relay

NODES = ("relay-1", "relay-2", "relay-3")
# Within the largest dose of the site file (share 0.6, x 0.4).
LOST_SHARE = 0.4
TIMEOUT_MS = 3000
PATIENCE_MS = 6000
REQUESTS = 900
PER_S = 35.0
PARTS = "5c1e07a2:800,91bd3f06:410,e4402b7d:250"
ENGINE = {
    "module": "review.engine",
    "service": "llm",
    "models": True,
    "resident": ["m0"],
    "slots": 64,
}
SERVERS = {
    "engine-1": {**ENGINE, "domain": "d1"},
    "engine-2": {**ENGINE, "domain": "d2"},
}


def _config():
    document = builders_relay.site_document()
    document["routes"] = [
        builders_relay.site_route(
            "/ask/", "streaming", "llm", TIMEOUT_MS, max_attempts=1
        )
    ]
    document["services"][0]["engine"]["slots"] = 64
    return document


def _call(site, record, number):
    """Sends a request; retries it once after a promise that it didn't run."""
    answers = []
    for attempt in range(2):
        answer = site.caller(NODES[(number + attempt) % 3]).send(
            f"/ask/{number}",
            "m0",
            wait_limit_ms=PATIENCE_MS,
            headers={"Azureline-Prompt-Prefix": PARTS},
        )
        record.write(
            f"answer {answer.request_id} path=/ask/{number} "
            f"status={answer.status} complete={answer.complete}"
        )
        answers.append(answer)
        if not answer.not_run:
            break
        time.sleep(min(2.0, float(answer.headers.get("retry-after", 0.1))))
    return answers


def _lost(site, name):
    url = site.processes.urls[name] + "/lost"
    with urllib.request.urlopen(url, timeout=5) as answer:
        return json.loads(answer.read())


def _run(record):
    with support.running(SERVERS, NODES, _config()) as site:
        if support.has_trouble():
            for name in SERVERS:
                site.inject(name, lose=LOST_SHARE)
        with concurrent.futures.ThreadPoolExecutor(200) as threads:
            calls = []
            for number in range(REQUESTS):
                calls.append(threads.submit(_call, site, record, number))
                time.sleep(1.0 / PER_S)
            tries = [call.result() for call in calls]
        runs = {
            run["request_id"]: name
            for name in SERVERS
            for run in site.recorded(name)["runs"]
        }
        lost = {one for name in SERVERS for one in _lost(site, name)}
    broken = [
        a for one in tries for a in one if a.not_run and a.request_id in runs
    ]
    for answer in broken:
        record.write(
            f"{answer.status} promises that {answer.request_id} did not run; "
            f"it ran at {runs[answer.request_id]}, answer lost: "
            f"{answer.request_id in lost}"
        )
    twice = [one for one in tries if sum(a.request_id in runs for a in one) > 1]
    served = sum(a.status == 200 for one in tries for a in one)
    record.result(
        f"served {served}, answers lost {len(lost)}, refused as not run "
        f"although they ran {len(broken)}, of these run again after the "
        f"caller's retry {len(twice)}"
    )
    if not served:
        return support.NOT_RUN
    return support.BROKEN if broken else support.HELD


if __name__ == "__main__":
    sys.exit(support.main(_run, __file__))
