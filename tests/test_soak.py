"""Tests of the soak: what its checks find, and one short run."""

import pytest

from tools import site_caller
from tools import soak
from tools import soak_checks


def _answer(status=200, body=b"r1", whole=True):
    return site_caller.Answer("r1", status, {}, body, whole)


def _seen(runs=(), orders=(), overcommits=0):
    rows = [{"request_id": name} for name in runs]
    return {"e1": {"runs": rows, "orders": orders, "overcommits": overcommits}}


def _order(holder, token, at):
    return {"holder": holder, "fencing_token": token, "at": at}


@pytest.mark.parametrize(
    ("rule", "kind", "answer", "seen"),
    [
        ("TWICE", "post", _answer(), _seen(["r1", "r1"])),
        ("REFUSED", "post", _answer(503), _seen(["r1"])),
        ("MIXED", "look", _answer(body=b"r2"), _seen(["r1"])),
        ("ORDER", "ask", _answer(body=b"id: 1\n\nr1"), _seen(["r1"])),
        ("LIMIT", "look", _answer(), _seen(["r1"], overcommits=1)),
        (
            "ONE",
            "look",
            _answer(),
            _seen(orders=[_order("a", 1, 0.0), _order("b", 2, 1.0)]),
        ),
        (
            "ONE",
            "look",
            _answer(),
            _seen(orders=[_order("a", 3, 0.0), _order("b", 2, 9.0)]),
        ),
    ],
)
def test_a_broken_promise_is_found(rule, kind, answer, seen):
    sent = [soak_checks.Sent(kind, 2, answer)]
    (found,) = soak_checks.broken(sent, seen)
    assert found.startswith(rule)


def test_kept_promises_are_left_alone():
    whole = _answer(body=b"id: 0\ndata: r1\n\nid: 1\ndata: r1\n\n")
    sent = [
        soak_checks.Sent("ask", 2, whole),
        soak_checks.Sent("look", 0, _answer()),
        soak_checks.Sent("post", 0, _answer(502, b"", False)),
    ]
    assert soak_checks.broken(sent, _seen(["r1"])) == []


@pytest.mark.processes
def test_a_short_run_keeps_every_promise():
    result = soak.run_seed(2, 4.0)
    assert result.broken == [], result.faults
    assert result.served > 0
