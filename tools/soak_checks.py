"""The promises that a soak checks, from what callers and servers saw."""

import collections
from typing import Any
from typing import NamedTuple

from tools import site_caller

# Between orders of two holders to an engine that compares no tokens.
TURN_S = 3.0


class Sent(NamedTuple):
    """A request and its answer.

    Attributes:
      kind: "look", "post", "ask" or "again".
      tokens: events that its stream must have.
      answer: what its caller saw.
    """

    kind: str
    tokens: int
    answer: site_caller.Answer


def broken(sent: list[Sent], seen: dict[str, dict[str, Any]]) -> list[str]:
    """Returns the promises that were broken.

    Args:
      sent: all requests.
      seen: what each backend server was asked to do, by its name.
    """
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
    return found


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
