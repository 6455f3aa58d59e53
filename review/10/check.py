"""Requests within a larger limit on their heads are refused with 400."""

import collections
import copy
import time
from typing import Any

from review.support2 import case
from review.support2 import site as sites
from tests import builders_relay
from tests import builders_site

NODES = builders_site.NODES
# `max_header_bytes` of the first configuration and of the later one.
FIRST_BYTES = 16384
LATER_BYTES = 32768
FIRST_VERSION = 7
LATER_VERSION = 9
# config_apply_ms of the sheets is 2 s.
SETTLE_S = 6.0
# Requests whose heads have about this part of the limit in force.
REQUESTS = 60
PART = 0.75
FIELDS = 8


def check(record: case.Record, has_trouble: bool) -> list[str]:
    """Raises the limit and sends heads within it; returns a break."""
    first = builders_relay.site_document(version=FIRST_VERSION)
    _set_limit(first, FIRST_BYTES)
    later = copy.deepcopy(first)
    later["version"] = LATER_VERSION
    in_force = LATER_BYTES if has_trouble else FIRST_BYTES
    _set_limit(later, in_force)
    servers = (sites.ledger("ledger-1"), sites.ledger("ledger-2"))
    with sites.running(servers, document=first) as site:
        time.sleep(4.0)
        site.inject_fault("store", operator=later)
        record.add(
            f"acknowledged version {LATER_VERSION}: max_header_bytes "
            f"{in_force}; before, {FIRST_BYTES}"
        )
        time.sleep(SETTLE_S)
        return _send(record, site, in_force)


def _set_limit(document: dict[str, Any], size: int) -> None:
    document["limits"]["max_header_bytes"] = size


def _send(
    record: case.Record, site: builders_site.Site, limit: int
) -> list[str]:
    size = int(limit * PART)
    headers = {f"X-Context-{n}": "c" * (size // FIELDS) for n in range(FIELDS)}
    statuses: collections.Counter[int] = collections.Counter()
    for number in range(REQUESTS):
        caller = site.caller(NODES[number % len(NODES)])
        answer = caller.send(f"/look/{number}", method="GET", headers=headers)
        statuses[answer.status] += 1
        record.add(
            f"request {answer.request_id}, head of {size} bytes and some "
            f"more: status {answer.status}, "
            f"run {site.runs_of(answer.request_id)} times {answer.reason}"
        )
    denied = sum(
        count
        for status, count in statuses.items()
        if 300 <= status < 500 and status not in (408, 421, 429)
    )
    allowed = 5 + REQUESTS / 500
    line = f"{denied} of {REQUESTS} requests denied, allowed {allowed:g}"
    record.add(f"answers by status: {dict(statuses)}")
    record.add(line)
    return [line] if denied > allowed else []


if __name__ == "__main__":
    case.run(__file__, check)
