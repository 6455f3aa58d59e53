"""Tests of the soak test: its checks, and one short run."""

import pytest

from tools import site_caller
from tools import soak
from tools import soak_checks


def _answer(status=200, body=b"r1", complete=True):
    return site_caller.Answer("r1", status, {}, body, complete)


def _seen(runs=(), orders=(), overcommits=0, arrivals=()):
    rows = [{"request_id": name} for name in runs]
    return {
        "e1": {
            "runs": rows,
            "orders": orders,
            "overcommits": overcommits,
            "arrivals": arrivals,
        }
    }


def _arrival(name, at, leaving=False, pause_s=0.0):
    return {
        "request_id": name,
        "at": at,
        "born": 1,
        "leaving": leaving,
        "pause_s": pause_s,
    }


def _sent(*times):
    """Returns requests r0, r1, ... to one node, sent at the given times."""
    return [
        soak_checks.SentRequest(
            "look",
            0,
            site_caller.Answer(f"r{n}", 200, {}, b"r%d" % n, True),
            "n1",
            at,
        )
        for n, at in enumerate(times)
    ]


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
def test_violation_is_reported(rule, kind, answer, seen):
    sent = [soak_checks.SentRequest(kind, 2, answer)]
    (found,) = soak_checks.find_violations(sent, seen)
    assert found.startswith(rule)


def test_request_long_after_leaving_notice_is_reported():
    sent = _sent(0.0, 1.0, 9.0)
    rows = [_arrival("r0", 0.0, leaving=True), _arrival("r1", 1.0)]
    assert soak_checks.find_violations(sent, _seen(arrivals=rows)) == []
    rows.append(_arrival("r2", 9.0))
    (found,) = soak_checks.find_violations(sent, _seen(arrivals=rows))
    assert found.startswith("DRAIN")
    excused = {"n1": [5.0]}
    assert (
        soak_checks.find_violations(sent, _seen(arrivals=rows), excused) == []
    )


def test_more_than_two_requests_during_pause_are_reported():
    sent = _sent(0.0, 0.3, 1.0, 1.1, 1.2, 2.5)
    rows = [_arrival("r0", 0.0, pause_s=2.0)]
    rows += [_arrival(f"r{n}", sent[n].at) for n in (1, 2, 3, 5)]
    assert soak_checks.find_violations(sent, _seen(arrivals=rows)) == []
    rows.append(_arrival("r4", 1.2))
    (found,) = soak_checks.find_violations(sent, _seen(arrivals=rows))
    assert found.startswith("BUDGET")


def test_calls_beyond_a_named_limit_are_reported():
    limits = [{"at": 0.0, "per_s": 1.0}, {"at": 30.0, "per_s": -1.0}]
    rows = [_arrival(f"r{n}", 3.0 + n * 0.1) for n in range(8)]
    reports = [{"kind": "report", "at": 4.0 + n} for n in range(3)]
    server = {"arrivals": rows, "control_calls": reports, "limits": limits}
    assert soak_checks.check_limits("e1", server) == []
    rows.append(_arrival("r8", 3.9))
    assert soak_checks.check_limits("e1", server)[0].startswith("LIMIT")
    limits[0]["per_s"] = 1.2
    assert soak_checks.check_limits("e1", server) == []
    server["limits"] = [{"at": 0.5, "per_s": 1.0}]
    assert soak_checks.check_limits("e1", server) == []


def test_prompts_that_keep_crashing_engines_are_reported():
    sent = [
        soak_checks.SentRequest(
            "deadly_part",
            0,
            _answer()._replace(request_id=f"p{n}"),
            "n1",
            float(n),
        )
        for n in range(14)
    ]
    rows = [{"request_id": f"p{n}", "at": float(n)} for n in range(14)]
    arrivals = [
        {**row, "born": 1, "leaving": False, "pause_s": 0.0} for row in rows
    ]
    seen = {"e": {"caused_crashes": rows, "arrivals": arrivals}}
    (found,) = soak_checks.find_late_prompts(sent, seen)
    assert found.startswith("BUDGET: 6 prompts")
    seen["e"]["arrivals"] = arrivals[:11]
    assert soak_checks.find_late_prompts(sent, seen) == []


def test_crashing_request_that_keeps_running_is_reported():
    sent = _sent(*range(9))
    runs = [{"request_id": f"r{n}", "at": float(n)} for n in range(9)]
    seen = {"e1": {"runs": runs, "ends": [0.0, 1.0, 1.5]}}
    (found,) = soak_checks.find_late_crashing_runs(sent, seen)
    assert found.startswith("BUDGET")
    assert soak_checks.find_late_crashing_runs(sent, seen, {"n1": [5.0]}) == []
    seen["e1"]["runs"] = runs[:8]
    assert soak_checks.find_late_crashing_runs(sent, seen) == []


def test_no_violation_is_reported_for_correct_records():
    whole = _answer(body=b"id: 0\ndata: r1\n\nid: 1\ndata: r1\n\n")
    sent = [
        soak_checks.SentRequest("ask", 2, whole),
        soak_checks.SentRequest("look", 0, _answer()),
        soak_checks.SentRequest("post", 0, _answer(502, b"", False)),
    ]
    assert soak_checks.find_violations(sent, _seen(["r1"])) == []


@pytest.mark.processes
def test_short_run_has_no_violation():
    result = soak.run_seed(2, 4.0)
    assert result.violations == [], result.faults
    assert result.served_count > 0


def test_streams_that_join_versions_or_skip_events_are_found():
    good = soak_checks.TakenStream(("0", "1"), frozenset({"v1"}))
    joined = soak_checks.TakenStream(("0", "1"), frozenset({"v1", "v2"}))
    skipped = soak_checks.TakenStream(("0", "2"), frozenset({"v1"}))
    assert soak_checks.check_streams([good, joined, joined]) == []
    assert len(soak_checks.check_streams([joined] * 3)) == 1
    assert len(soak_checks.check_streams([good, skipped])) == 1
