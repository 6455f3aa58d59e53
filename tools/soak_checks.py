"""The promises that a soak checks, from what callers and servers saw."""

import collections
from typing import Any
from typing import NamedTuple

from tools import site_caller

# Between orders of two holders to an engine that compares no tokens.
TURN_S = 3.0
# A server that said that it leaves gets nothing later than this (DRAIN).
DRAIN_S = 2.0
# A server that asked a node for a pause gets at most so many requests of it
# from half a second later on (BUDGET).
PAUSE_GRACE_S = 0.5
PAUSE_REQUESTS = 2
# A request that ended so many servers gets at most so many more sends, later
# than what a node learns is known to all (BUDGET).
DEADLY_ENDS = 3
DEADLY_SENDS = 3
CONTACT_S = 3.0
# A node that was stopped or paused is back and in touch after this time.
DISTURBED_S = 6.0


class Sent(NamedTuple):
    """A request and its answer.

    Attributes:
      kind: "look", "post", "ask" or "again".
      tokens: events that its stream must have.
      answer: what its caller saw.
      node: the node to which it was sent.
      at: Unix time at which it was sent.
    """

    kind: str
    tokens: int
    answer: site_caller.Answer
    node: str = ""
    at: float = 0.0


def broken(
    sent: list[Sent],
    seen: dict[str, dict[str, Any]],
    disturbed: dict[str, list[float]] | None = None,
) -> list[str]:
    """Returns the promises that were broken.

    Args:
      sent: all requests.
      seen: what each backend server was asked to do, by its name.
      disturbed: Unix times at which a node was restarted or paused, by its
        name; it may forget what servers told it before.
    """
    node_of = {one.answer.request_id: one.node for one in sent}
    at_of = {one.answer.request_id: one.at for one in sent}
    runs = collections.Counter(
        run["request_id"] for server in seen.values() for run in server["runs"]
    )
    found = []
    for one in sent:
        found += _broken_by(one, runs[one.answer.request_id])
    for name, server in seen.items():
        if server["overcommits"]:
            found.append(f"LIMIT {name}: {server['overcommits']} overcommits")
        found += _broken_turns(name, server["orders"])
        rows = [
            {**row, "node": node, "sent_at": at_of[row["request_id"]]}
            for row in server.get("arrivals", ())
            if (node := node_of.get(row["request_id"]))
        ]
        found += _broken_leaving(name, rows, disturbed or {})
        found += _broken_pauses(name, rows, disturbed or {})
    return found


def deadly_runs(
    sent: list[Sent],
    seen: dict[str, dict[str, Any]],
    disturbed: dict[str, list[float]] | None = None,
) -> list[str]:
    """Returns whether one deadly request was sent on for too long.

    Args:
      sent: the attempts of that request.
      seen: what each backend server was asked to do, by its name.
      disturbed: Unix times at which a node was restarted or paused, by name.
    """
    node_of = {one.answer.request_id: one.node for one in sent}
    ends = sorted(at for server in seen.values() for at in server["ends"])
    if len(ends) < DEADLY_ENDS:
        return []
    known_at = ends[DEADLY_ENDS - 1] + CONTACT_S
    late = 0
    for run in (run for server in seen.values() for run in server["runs"]):
        node = node_of.get(run["request_id"])
        if node is None or run["at"] <= known_at:
            continue
        times = (disturbed or {}).get(node, ())
        late += not any(0 <= run["at"] - at <= DISTURBED_S for at in times)
    if late <= DEADLY_SENDS:
        return []
    return [f"BUDGET: a deadly request ran {late} times late, {len(ends)} ends"]


def _broken_by(one: Sent, runs: int) -> list[str]:
    answer = one.answer
    name = f"{one.kind} {answer.request_id}"
    once = one.kind in ("post", "ask")
    found = []
    if once and runs > 1:
        found.append(f"TWICE {name}: ran {runs} times")
    if once and answer.not_run and runs:
        found.append(f"REFUSED {name}: {answer.status} and ran")
    if answer.status != 200 or not answer.whole:
        return found
    if one.kind in ("ask", "again"):
        expected = [str(number) for number in range(one.tokens)]
        if answer.events != expected:
            found.append(f"ORDER {name}: events {answer.events}")
    if answer.request_id.encode() not in answer.body:
        found.append(f"MIXED {name}: {answer.body[:80]!r}")
    return found


def _broken_turns(name: str, orders: list[dict[str, Any]]) -> list[str]:
    found = []
    for before, after in zip(orders, orders[1:], strict=False):
        if after["fencing_token"] < before["fencing_token"]:
            found.append(f"ONE {name}: a lower token after a higher one")
        same = after["holder"] == before["holder"]
        if not same and after["at"] - before["at"] < TURN_S:
            gap_s = after["at"] - before["at"]
            found.append(f"ONE {name}: holders {gap_s:.2f} s apart")
    return found


def _broken_leaving(
    name: str, rows: list[dict[str, Any]], disturbed: dict[str, list[float]]
) -> list[str]:
    told: dict[tuple[str, int], float] = {}
    found = []
    for row in rows:
        key = (row["node"], row["born"])
        since = told.get(key)
        if since is not None and row["sent_at"] > since + DRAIN_S:
            times = disturbed.get(row["node"], ())
            if not any(since <= at <= row["at"] for at in times):
                late_s = row["at"] - since
                found.append(f"DRAIN {name}: {late_s:.2f} s after it was told")
        if row["leaving"]:
            told.setdefault(key, row["at"])
    return found


def _broken_pauses(
    name: str, rows: list[dict[str, Any]], disturbed: dict[str, list[float]]
) -> list[str]:
    found = []
    for pause in (row for row in rows if row["pause_s"]):
        first = pause["at"] + PAUSE_GRACE_S
        last = pause["at"] + pause["pause_s"]
        times = disturbed.get(pause["node"], ())
        if any(pause["at"] <= at <= last for at in times):
            continue
        inside = sum(
            first < row["at"] < last
            and (row["node"], row["born"]) == (pause["node"], pause["born"])
            for row in rows
        )
        if inside > PAUSE_REQUESTS:
            found.append(f"BUDGET {name}: {inside} requests in a pause")
    return found
