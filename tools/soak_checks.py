"""Checks of guarantees from the records of callers and backend servers."""

import bisect
import collections
import math
from typing import Any
from typing import NamedTuple

from tools import site_caller

# Minimum time between orders of two lease holders to an engine that does not
# compare fencing tokens (ONE).
MIN_HOLDER_CHANGE_S = 3.0
# A server may receive requests up to this long after its leaving notice
# (DRAIN).
DRAIN_GRACE_S = 2.0
# Limit of requests that a node may send to a server during a pause that the
# server asked for, from the grace time on (BUDGET).
PAUSE_GRACE_S = 0.5
MAX_PAUSE_REQUESTS = 2
# A request that crashed DEADLY_ENDS servers may run at most DEADLY_SENDS more
# times once CONTACT_S, the time for all nodes to learn of it, has passed
# (BUDGET).
MAX_CRASHES = 3
MAX_LATE_RUNS = 3
# The same for prompts with a part under which this many servers crashed.
MAX_PART_CRASHES = 5
PROPAGATION_S = 3.0
# A server that names a limit gets at most LIMIT_RATIO times what the limit
# allows in LIMIT_WINDOW_S, plus LIMIT_SLACK calls, from PROPAGATION_S after it
# first named it (LIMIT).
LIMIT_WINDOW_S = 4.0
LIMIT_RATIO = 1.5
LIMIT_SLACK = 5
# Time in which a stopped or paused node recovers and reconnects.
NODE_RECOVERY_S = 6.0


# Streams that may hold events of engines of two software versions (ORDER).
MAX_JOINED_STREAMS = 2


class TakenStream(NamedTuple):
    """A stream over a caller's tries.

    Attributes:
      events: ids of its events, in the order of their receipt.
      versions: software versions of the engines that wrote them.
    """

    events: tuple[str, ...]
    versions: frozenset[str]


def check_streams(streams: list[TakenStream]) -> list[str]:
    """Returns the violations by streams that callers took up again."""
    violations = []
    joined = [s for s in streams if len(s.versions) > 1]
    if len(joined) > MAX_JOINED_STREAMS:
        violations.append(f"ORDER: {len(joined)} streams join two versions")
    for stream in streams:
        if list(stream.events) != [str(n) for n in range(len(stream.events))]:
            violations.append(f"ORDER: events {stream.events}")
    return violations


class SentRequest(NamedTuple):
    """A request and its answer.

    Attributes:
      kind: "look", "post", "ask" or "again".
      tokens: events that its stream must have.
      answer: the response that its caller received.
      node: the node to which it was sent.
      at: Unix time at which it was sent.
    """

    kind: str
    tokens: int
    answer: site_caller.Answer
    node: str = ""
    at: float = 0.0


def find_violations(
    sent: list[SentRequest],
    seen: dict[str, dict[str, Any]],
    disturbed: dict[str, list[float]] | None = None,
) -> list[str]:
    """Returns the violated guarantees.

    Args:
      sent: all requests.
      seen: the records of each backend server, by server name.
      disturbed: Unix times at which each node was restarted or paused, by node
        name; such a node may lose the server notices that it had received.
    """
    node_of = {one.answer.request_id: one.node for one in sent}
    at_of = {one.answer.request_id: one.at for one in sent}
    runs = collections.Counter(
        run["request_id"] for server in seen.values() for run in server["runs"]
    )
    violations = []
    for one in sent:
        violations += _check_answer(one, runs[one.answer.request_id])
    for name, server in seen.items():
        if server["overcommits"]:
            violations.append(
                f"LIMIT {name}: {server['overcommits']} overcommits"
            )
        violations += _check_orders(name, server["orders"])
        violations += check_limits(name, server)
        rows = [
            {**row, "node": node, "sent_at": at_of[row["request_id"]]}
            for row in server.get("arrivals", ())
            if (node := node_of.get(row["request_id"]))
        ]
        violations += _check_drain(name, rows, disturbed or {})
        violations += _check_pauses(name, rows, disturbed or {})
    return violations


def find_late_crashing_runs(
    sent: list[SentRequest],
    seen: dict[str, dict[str, Any]],
    disturbed: dict[str, list[float]] | None = None,
) -> list[str]:
    """Returns a violation if a crashing request was sent too often.

    Args:
      sent: all sends of that request.
      seen: the records of each backend server, by server name.
      disturbed: Unix times at which each node was restarted or paused, by node
        name.
    """
    node_of = {one.answer.request_id: one.node for one in sent}
    ends = sorted(at for server in seen.values() for at in server["ends"])
    if len(ends) < MAX_CRASHES:
        return []
    known_at = ends[MAX_CRASHES - 1] + PROPAGATION_S
    late_runs = 0
    for run in (run for server in seen.values() for run in server["runs"]):
        node = node_of.get(run["request_id"])
        if node is None or run["at"] <= known_at:
            continue
        disturbances = (disturbed or {}).get(node, ())
        late_runs += not any(
            0 <= run["at"] - at <= NODE_RECOVERY_S for at in disturbances
        )
    if late_runs <= MAX_LATE_RUNS:
        return []
    return [
        f"BUDGET: crashing request ran {late_runs} times late, {len(ends)} ends"
    ]


def find_late_prompts(
    sent: list[SentRequest],
    seen: dict[str, dict[str, Any]],
    disturbed: dict[str, list[float]] | None = None,
) -> list[str]:
    """Returns a violation if prompts with a crashing part were sent too often.

    Args:
      sent: all prompts with that part.
      seen: the records of each backend server, by server name.
      disturbed: Unix times at which each node was restarted or paused, by node
        name.
    """
    node_of = {one.answer.request_id: one.node for one in sent}
    crashes = sorted(
        crash["at"]
        for server in seen.values()
        for crash in server.get("caused_crashes", ())
        if crash["request_id"] in node_of
    )
    if len(crashes) < MAX_PART_CRASHES:
        return []
    known_at = crashes[MAX_PART_CRASHES - 1] + PROPAGATION_S
    late = sum(
        row["at"] > known_at
        and not any(
            0 <= row["at"] - at <= NODE_RECOVERY_S
            for at in (disturbed or {}).get(node_of[row["request_id"]], ())
        )
        for server in seen.values()
        for row in server.get("arrivals", ())
        if row["request_id"] in node_of
    )
    if late <= MAX_LATE_RUNS:
        return []
    return [
        f"BUDGET: {late} prompts with a crashing part arrived late, "
        f"{len(crashes)} crashes"
    ]


def check_limits(name: str, server: dict[str, Any]) -> list[str]:
    """Returns the windows in which a server got more calls than its limit.

    Args:
      name: the server's name.
      server: its records; requests, reports and orders of all nodes count.
    """
    calls = sorted(
        row["at"]
        for kind in ("arrivals", "control_calls")
        for row in server.get(kind, ())
    )
    violations = []
    for first, begins, ends, limits in _limited_periods(server):
        counted = [at for at in calls if begins <= at < ends]
        for number, at in enumerate(counted):
            last = at + LIMIT_WINDOW_S
            count = bisect.bisect_left(counted, last) - number
            allowed = (
                LIMIT_RATIO * LIMIT_WINDOW_S * _highest(limits, at, last)
                + LIMIT_SLACK
            )
            if count > allowed:
                violations.append(
                    f"LIMIT {name}: {count} calls in {LIMIT_WINDOW_S:g} s, "
                    f"{at - first:.2f} s after its limit, {allowed:g} allowed"
                )
    return violations


def _limited_periods(
    server: dict[str, Any],
) -> list[tuple[float, float, float, list[dict[str, float]]]]:
    """Returns the periods in which the server's limit binds all nodes.

    Each is the Unix time of its first naming, the times between which calls
    count, and the limits named in it.
    """
    periods = []
    named: list[dict[str, float]] = []
    for limit in [*server.get("limits", ()), {"at": math.inf, "per_s": -1.0}]:
        if limit["per_s"] >= 0:
            named.append(limit)
        elif named:
            first = named[0]["at"]
            periods.append((first, first + PROPAGATION_S, limit["at"], named))
            named = []
    return periods


def _highest(
    limits: list[dict[str, float]], begins: float, ends: float
) -> float:
    """Returns the highest limit in force between two times."""
    until = [limit["at"] for limit in limits[1:]] + [math.inf]
    return max(
        limit["per_s"]
        for limit, end in zip(limits, until, strict=True)
        if limit["at"] < ends and end > begins
    )


def _check_answer(one: SentRequest, runs: int) -> list[str]:
    answer = one.answer
    name = f"{one.kind} {answer.request_id}"
    once = one.kind in ("post", "ask")
    violations = []
    if once and runs > 1:
        violations.append(f"TWICE {name}: ran {runs} times")
    if once and answer.not_run and runs:
        violations.append(f"REFUSED {name}: {answer.status} and ran")
    if answer.status != 200 or not answer.complete:
        return violations
    if one.kind in ("ask", "again"):
        expected = [str(number) for number in range(one.tokens)]
        if answer.events != expected:
            violations.append(f"ORDER {name}: events {answer.events}")
    if answer.request_id.encode() not in answer.body:
        violations.append(f"MIXED {name}: {answer.body[:80]!r}")
    return violations


def _check_orders(name: str, orders: list[dict[str, Any]]) -> list[str]:
    violations = []
    for before, after in zip(orders, orders[1:], strict=False):
        if after["fencing_token"] < before["fencing_token"]:
            violations.append(f"ONE {name}: a lower token after a higher one")
        same_holder = after["holder"] == before["holder"]
        if not same_holder and after["at"] - before["at"] < MIN_HOLDER_CHANGE_S:
            interval_s = after["at"] - before["at"]
            violations.append(f"ONE {name}: holders {interval_s:.2f} s apart")
    return violations


def _check_drain(
    name: str, rows: list[dict[str, Any]], disturbed: dict[str, list[float]]
) -> list[str]:
    notices: dict[tuple[str, int], float] = {}
    violations = []
    for row in rows:
        key = (row["node"], row["born"])
        notice_at = notices.get(key)
        if notice_at is not None and row["sent_at"] > notice_at + DRAIN_GRACE_S:
            disturbances = disturbed.get(row["node"], ())
            if not any(notice_at <= at <= row["at"] for at in disturbances):
                late_s = row["at"] - notice_at
                violations.append(
                    f"DRAIN {name}: {late_s:.2f} s after its notice"
                )
        if row["leaving"]:
            notices.setdefault(key, row["at"])
    return violations


def _check_pauses(
    name: str, rows: list[dict[str, Any]], disturbed: dict[str, list[float]]
) -> list[str]:
    violations = []
    for pause in (row for row in rows if row["pause_s"]):
        first = pause["at"] + PAUSE_GRACE_S
        last = pause["at"] + pause["pause_s"]
        disturbances = disturbed.get(pause["node"], ())
        if any(pause["at"] <= at <= last for at in disturbances):
            continue
        requests = sum(
            first < row["at"] < last
            and (row["node"], row["born"]) == (pause["node"], pause["born"])
            for row in rows
        )
        if requests > MAX_PAUSE_REQUESTS:
            violations.append(f"BUDGET {name}: {requests} requests in a pause")
    return violations
