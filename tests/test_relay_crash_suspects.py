"""Tests of the exchange of crash suspects between nodes."""

import pytest

from azureline.core import errors
from azureline.relay import crash_detection
from azureline.relay import crash_suspects
from azureline.relay import request_identity
from azureline.relay import suspect_reports
from azureline.relay import suspect_store
from tests import builders_crash_suspects as builders
from tests import builders_relay

# Required bounds: all nodes know a suspect within CONTACT_S of the third crash
# and send it at most RETRIES more times after that.
CONTACT_S = 3.0
RETRIES = 3


def _crash(fleet, *bodies, server="s0"):
    fleet.end(server, *bodies)
    fleet.play(1.0)


def test_one_crash_delays_no_request():
    fleet = builders.Fleet()
    _crash(fleet, b"a")
    permit = fleet.check(3, b"a")
    assert permit.server_id == "" and permit.content


def test_a_request_that_is_no_suspect_needs_no_body_digest():
    fleet = builders.Fleet()
    _crash(fleet, b"a")
    assert fleet.check(3, b"other") == crash_suspects.SendPermit()


def test_after_two_crashes_one_node_at_a_time_sends_it_to_the_same_server():
    fleet = builders.Fleet()
    _crash(fleet, b"a", server="s0")
    _crash(fleet, b"a", server="s1")
    checks = [fleet.check(n, b"a") for n in range(5)]
    sent = [c for c in checks if isinstance(c, crash_suspects.SendPermit)]
    assert len(sent) == 1 and sent[0].server_id
    fleet.play(suspect_store.TRIAL_S + 0.1)
    later = [c.result for c in checks if c not in sent and c.called]
    assert [permit.server_id for permit in later] == [sent[0].server_id]


def _restart_all(fleet):
    for number in range(len(fleet.records)):
        fleet.restart(number)
    fleet.play(1.0)


def test_one_crash_makes_a_suspect_of_a_request_after_all_nodes_restarted():
    fleet = builders.Fleet()
    _restart_all(fleet)
    _crash(fleet, b"a")
    checks = [fleet.check(n, b"a") for n in range(5)]
    sent = [c for c in checks if isinstance(c, crash_suspects.SendPermit)]
    assert len(sent) == 1 and sent[0].server_id
    fleet.play(crash_suspects.CAREFUL_S)
    assert fleet.check(3, b"a").server_id == ""


def test_one_crash_makes_no_suspect_of_a_part_after_all_nodes_restarted():
    fleet = builders.Fleet()
    _restart_all(fleet)
    fleet.end_prompt("s0", b"a", "first")
    fleet.play(1.0)
    assert fleet.check(3, b"b", "first").server_id == ""


def test_a_copy_waits_while_the_first_is_in_flight():
    fleet = builders.Fleet()
    _crash(fleet, b"a", server="s0")
    _crash(fleet, b"a", server="s1")
    part, first = fleet.nodes[0].crash_suspects, fleet.check(0, b"a")
    fleet.play(0.5)
    permit = first.result if hasattr(first, "result") else first
    part.send_started(permit)
    waiting = fleet.check(0, b"a")
    fleet.play(suspect_store.TRIAL_S + 0.5)
    assert not waiting.called
    part.send_ended(permit)
    fleet.play(0.5)
    assert waiting.result == permit


def test_after_three_crashes_no_node_sends_it():
    fleet = builders.Fleet()
    for server in ("s0", "s1", "s2"):
        _crash(fleet, b"a", server=server)
    for number in range(5):
        refusal = fleet.check(number, b"a")
        assert refusal.kind is errors.ErrorKind.ENDED_SERVERS
        assert refusal.answer.status == 502
        assert refusal.retry_after == pytest.approx(600.0, abs=2.0)


def test_a_crash_that_several_nodes_see_counts_once():
    fleet = builders.Fleet()
    content = request_identity.content_digest(fleet.request(b"a"))
    server = builders_relay.server("s0", service=builders.SERVICE)
    for number in range(5):
        crash = crash_detection.ServerCrash(server, 0.0, (content,))
        fleet.nodes[number].crash_suspects.server_crashed(crash)
    fleet.play(1.0)
    assert fleet.check(0, b"a").server_id == ""


def test_a_completed_run_clears_a_suspect_on_all_nodes():
    fleet = builders.Fleet()
    _crash(fleet, b"a", server="s0")
    _crash(fleet, b"a", server="s1")
    request = fleet.request(b"a")
    fleet.nodes[2].crash_suspects.request_completed(request, builders.SERVICE)
    fleet.play(0.1)
    assert [fleet.check(n, b"a").server_id for n in range(5)] == [""] * 5


def test_an_assignment_from_before_the_third_crash_is_not_used():
    fleet = builders.Fleet()
    _crash(fleet, b"a", server="s0")
    permit = fleet.check(0, b"a")
    assert permit.server_id == ""
    part, request = fleet.nodes[0].crash_suspects, fleet.request(b"a")
    arguments = (permit, request, builders.SERVICE, fleet.usable, "s5")
    assert part.permits(*arguments)
    for server in ("s1", "s2"):
        _crash(fleet, b"a", server=server)
    assert not part.permits(*arguments)


def test_a_wait_beyond_the_deadline_is_refused_immediately():
    fleet = builders.Fleet(servers=1)
    bodies = [b"%d" % number for number in range(9)]
    _crash(fleet, *bodies)
    fleet.end("s0", *bodies)
    fleet.play(0.6)
    refusals = [
        permit
        for permit in (fleet.check(0, body) for body in bodies)
        if isinstance(permit, errors.Refusal)
    ]
    assert refusals
    for refusal in refusals:
        assert refusal.kind is errors.ErrorKind.DID_NOT_RUN
        assert refusal.answer.ran is errors.Ran.NO
        assert 0 < refusal.retry_after <= builders.PATIENCE_S / 3


def test_a_restarted_node_receives_the_suspects_of_others():
    fleet = builders.Fleet()
    for server in ("s0", "s1", "s2"):
        _crash(fleet, b"a", server=server)
    fleet.store.item = None
    fleet.restart(3)
    assert fleet.check(3, b"a") == crash_suspects.SendPermit()
    fleet.play(CONTACT_S)
    assert fleet.check(3, b"a").kind is errors.ErrorKind.ENDED_SERVERS


def test_a_restart_of_all_nodes_keeps_the_suspects():
    fleet = builders.Fleet()
    for server in ("s0", "s1", "s2"):
        _crash(fleet, b"a", server=server)
    for number in range(5):
        fleet.restart(number)
    refusals = [fleet.check(number, b"a") for number in range(5)]
    fleet.play(1.0)
    for refusal in refusals:
        assert refusal.result.kind is errors.ErrorKind.ENDED_SERVERS


def test_the_number_of_suspects_is_bounded():
    fleet = builders.Fleet(nodes=1)
    for number in range(200):
        bodies = [b"%d.%d" % (number, i) for i in range(64)]
        fleet.end("s0", *bodies)
        fleet.play(0.005)
    part = fleet.nodes[0].crash_suspects
    assert len(part._suspects.entries()) <= 4096
    fleet.play(11.0)
    assert len(part._reports.outlines) <= 4096


@pytest.mark.parametrize("seed", range(6))
def test_deadly_requests_crash_few_servers_and_others_are_served(seed):
    fleet = builders.Fleet(seed, nodes=4, loss=0.02)
    rng, innocent, deadly = fleet.rng, [], []
    for number in range(400):
        at = rng.uniform(0.0, 12.0)
        fleet.call(at, rng.randrange(4), b"i%d" % number, innocent)
    deadly_bodies = (b"deadly 1", b"deadly 2")
    for body in deadly_bodies:
        for turn in range(40):
            at = rng.uniform(0.0, 0.3) + 0.4 * turn
            fleet.call(at, turn % 4, body, deadly)
    fleet.play(6.0)
    fleet.restart(seed % 4)
    fleet.play(16.0)
    for body in deadly_bodies:
        content = request_identity.content_digest(fleet.request(body))
        runs = [run.at for run in fleet.runs if run.content == content]
        assert len(runs) >= 3
        late = [
            at for at in runs if at > runs[2] + builders.DEADLY_S + CONTACT_S
        ]
        assert len(late) <= RETRIES, runs
    assert len(fleet.ends) <= 2 * (3 + 2), fleet.ends
    assert innocent.count("served") >= 0.98 * 400
    assert "ended_servers" not in innocent


class _IgnoresReports(suspect_reports.SuspectReports):
    """Deliberate fault: a node knows only the crashes that it saw itself."""

    def merge(self, entries):
        del entries

    def _on_crash_report(self, report, host, port):
        if host == self._peers.own.host:
            super()._on_crash_report(report, host, port)


def test_the_checks_detect_nodes_that_ignore_reports(monkeypatch):
    monkeypatch.setattr(suspect_reports, "SuspectReports", _IgnoresReports)
    fleet, answers = builders.Fleet(nodes=12), []
    for turn in range(40):
        fleet.call(0.4 * turn, turn % 12, b"deadly", answers)
    fleet.play(20.0)
    runs = [run.at for run in fleet.runs]
    late = [at for at in runs if at > runs[2] + builders.DEADLY_S + CONTACT_S]
    assert len(late) > RETRIES


def test_suspects_that_the_store_forgot_are_written_again():
    fleet = builders.Fleet()
    copy = fleet.store.item
    for server in ("s0", "s1", "s2"):
        _crash(fleet, b"a", server=server)
    assert fleet.store.item != copy
    fleet.store.restore(copy)
    fleet.play(2.0)
    assert fleet.store.item is not None
    fleet.restart(3)
    fleet.play(1.0)
    assert isinstance(fleet.check(3, b"a"), errors.Refusal)


def test_a_record_that_came_back_older_can_be_written_again():
    fleet = builders.Fleet()
    _crash(fleet, b"a", server="s0")
    _crash(fleet, b"a", server="s1")
    copy = fleet.store.item
    _crash(fleet, b"b", server="s0")
    _crash(fleet, b"b", server="s1")
    fleet.store.restore(copy)
    fleet.play(2.0)
    calls = fleet.store.calls
    fleet.play(5.0)
    assert fleet.store.calls == calls
    fleet.restart(2)
    fleet.play(1.0)
    found = fleet.check(2, b"b")
    fleet.play(0.5)
    assert getattr(found, "result", found).content


def test_a_trial_that_the_store_forgot_still_excludes_others():
    fleet = builders.Fleet()
    _crash(fleet, b"a", server="s0")
    _crash(fleet, b"a", server="s1")
    copy = fleet.store.item
    checks = [fleet.check(n, b"a") for n in range(2)]
    fleet.play(0.2)
    fleet.store.restore(copy)
    fleet.restart(4)
    fleet.play(0.2)
    checks.append(fleet.check(4, b"a"))
    fleet.play(0.3)
    permits = [
        check
        for check in (getattr(c, "result", c) for c in checks)
        if isinstance(check, crash_suspects.SendPermit) and check.server_id
    ]
    assert len(permits) == 1


def test_a_first_crash_outlives_the_loss_of_all_nodes():
    # Callers saw one request end a server after each loss of all nodes.
    fleet = builders.Fleet()
    _crash(fleet, b"a")
    _restart_all(fleet)
    fleet.play(crash_suspects.CAREFUL_S)
    checks = [fleet.check(n, b"a") for n in range(5)]
    sent = [c for c in checks if isinstance(c, crash_suspects.SendPermit)]
    assert len(sent) == 1 and sent[0].server_id


def test_an_ordinary_crash_makes_few_writes():
    # Requests that complete elsewhere must not make one write each.
    fleet = builders.Fleet()
    bodies = [b"%d" % number for number in range(64)]
    fleet.end("s0", *bodies)
    fleet.play(1.0)
    for number, body in enumerate(bodies):
        suspects = fleet.nodes[number % 5].crash_suspects
        suspects.request_completed(fleet.request(body), builders.SERVICE)
    fleet.play(60.0)
    assert fleet.store.calls <= 4


def test_a_content_that_was_removed_after_its_run_is_not_recorded_again():
    fleet = builders.Fleet()
    _crash(fleet, b"a")
    suspects = fleet.nodes[2].crash_suspects
    suspects.request_completed(fleet.request(b"a"), builders.SERVICE)
    fleet.end("s1", b"b", seen_by=2)
    fleet.play(30.0)
    assert fleet.store.calls <= 4


def _claimed_trial(fleet):
    """Begins a trial of a once accused content; returns its server."""
    _crash(fleet, b"a")
    _restart_all(fleet)
    checks = [fleet.check(n, b"a") for n in range(5)]
    permits = [c for c in checks if isinstance(c, crash_suspects.SendPermit)]
    assert len(permits) == 1
    return permits[0].server_id


def test_a_crash_in_a_trial_whose_node_was_lost_counts():
    # The successors of lost nodes tried the request once more each time.
    fleet = builders.Fleet()
    server = _claimed_trial(fleet)
    _restart_all(fleet)
    fleet.born[server] += 1
    waiting = [fleet.check(n, b"a") for n in range(5)]
    fleet.play(suspect_store.TRIAL_S + 0.5)
    content = request_identity.content_digest(fleet.request(b"a"))
    counts = [
        node.crash_suspects._suspects.crash_count(content)
        for node in fleet.nodes
    ]
    assert max(counts) == 2
    assert waiting


def test_a_trial_whose_node_was_lost_is_repeated_if_its_server_survived():
    fleet = builders.Fleet()
    _claimed_trial(fleet)
    _restart_all(fleet)
    fleet.play(suspect_store.TRIAL_S + 5.0)
    checks = [fleet.check(n, b"a") for n in range(5)]
    sent = [c for c in checks if isinstance(c, crash_suspects.SendPermit)]
    assert len(sent) == 1


def test_a_crash_of_a_trial_that_the_record_holds_is_counted_once():
    # Nodes refused to try the request again, as the trial stayed open.
    fleet = builders.Fleet()
    server = _claimed_trial(fleet)
    _restart_all(fleet)
    fleet.born[server] += 1
    for _ in range(2):
        _restart_all(fleet)
        for number in range(5):
            fleet.check(number, b"a")
        fleet.play(suspect_store.TRIAL_S + builders.PATIENCE_S)
    checks = [fleet.check(n, b"a") for n in range(5)]
    fleet.play(suspect_store.TRIAL_S + 0.5)
    results = [getattr(check, "result", check) for check in checks]
    sent = [r for r in results if isinstance(r, crash_suspects.SendPermit)]
    assert sent
