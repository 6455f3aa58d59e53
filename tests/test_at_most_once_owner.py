"""Unit tests of the decisions of a slot's owner."""

import pytest

from azureline.at_most_once import key as key_lib
from azureline.at_most_once import log
from azureline.at_most_once import messages
from azureline.at_most_once import owner
from azureline.at_most_once import page
from azureline.at_most_once import records
from azureline.core import errors
from azureline.platform import interface
from tests import builders_at_most_once

claim = builders_at_most_once.claim
outcome = builders_at_most_once.outcome
ANSWER = messages.Answer(201, (("x-lot", "7"),), b"approved")
DID_NOT_RUN = messages.Result.DID_NOT_RUN
Kind = errors.ErrorKind
Ran = errors.Ran


@pytest.fixture
def bench():
    return builders_at_most_once.OwnerHarness()


def _refused(replies):
    (reply,) = replies
    assert isinstance(reply, messages.Refused)
    return Kind(reply.kind), Ran(reply.ran)


def test_a_lost_reply_is_repeated_with_the_same_attempt(bench):
    first = claim(bench.key())
    (granted,) = bench.request(first)
    assert bench.request(first) == [granted]
    assert granted == messages.Granted(0, "r1", 1)


def test_a_request_id_of_another_node_is_another_copy(bench):
    first = claim(bench.key())
    bench.request(first)
    twin = first._replace(node="e1")
    assert bench.request(twin) == [messages.InProgress(0, "r1")]
    gone = messages.Withdraw(0, twin.caller, twin.key, "e1", "r1")
    bench.request(gone)
    third = first._replace(request_id="r3")
    assert bench.request(third) == [messages.InProgress(0, "r3")]


def test_a_resend_gets_the_cached_answer_or_ran_without_answer(bench):
    first = claim(bench.key())
    bench.request(first)
    bench.request(outcome(first, answer=ANSWER))
    again = first._replace(request_id="r2", node="e1")
    assert bench.request(again) == [messages.Replay(0, "r2", ANSWER)]
    bench.advance(records.OUTCOME_WRITE_DELAY_S)
    bench.take_over()
    assert bench.request(again) == [messages.RanWithoutAnswer(0, "r2")]


def test_a_waiting_copy_gets_the_outcome(bench):
    first = claim(bench.key())
    bench.request(first)
    second = first._replace(request_id="r2", node="e1")
    assert bench.request(second) == [messages.InProgress(0, "r2")]
    bench.request(outcome(first, answer=ANSWER))
    replies = [effect.message for effect in bench.sent]
    assert messages.Replay(0, "r2", ANSWER) in replies


def test_another_body_is_refused_and_another_caller_is_not(bench):
    first = claim(bench.key())
    bench.request(first)
    other_body = first._replace(request_id="r2", content=b"other")
    assert _refused(bench.request(other_body)) == (Kind.KEY_REUSED, Ran.NO)
    other_caller = first._replace(request_id="r3", caller="rival")
    assert bench.request(other_caller) == [messages.Granted(0, "r3", 1)]


def test_a_key_that_did_not_run_is_granted_as_a_new_attempt(bench):
    first = claim(bench.key())
    bench.request(first)
    bench.request(outcome(first, DID_NOT_RUN))
    again = first._replace(request_id="r2")
    assert bench.request(again) == [messages.Granted(0, "r2", 2)]
    late = outcome(first, DID_NOT_RUN)
    bench.request(late)
    third = first._replace(request_id="r3")
    assert bench.request(third) == [messages.InProgress(0, "r3")]


def test_a_late_report_of_an_old_attempt_changes_nothing(bench):
    first = claim(bench.key())
    bench.request(first)
    bench.request(outcome(first, DID_NOT_RUN))
    bench.request(first._replace(request_id="r2"))
    bench.take_over()
    bench.request(outcome(first, DID_NOT_RUN, attempt=1))
    third = first._replace(request_id="r3")
    expected = Kind.MAY_HAVE_RUN, Ran.UNKNOWN
    assert _refused(bench.request(third)) == expected


def test_a_lost_entry_node_leaves_the_outcome_unknown_until_it_reports(bench):
    first = claim(bench.key())
    bench.request(first)
    bench.act(bench.owner, bench.owner.node_lost(bench.now, "e0"))
    second = first._replace(request_id="r2", node="e1")
    expected = Kind.MAY_HAVE_RUN, Ran.UNKNOWN
    assert _refused(bench.request(second)) == expected
    bench.request(outcome(first, answer=ANSWER))
    assert bench.request(second) == [messages.Replay(0, "r2", ANSWER)]


def test_a_deposed_owner_grants_nothing(bench):
    old = bench.owner
    key = bench.key()
    bench.take_over()
    assert bench.request(claim(key), old) == [messages.NotOwner(0, "r1")]
    assert old.deposed
    assert bench.request(claim(key)) == [messages.Granted(0, "r1", 1)]


def test_without_a_lease_a_refusal_does_not_state_not_run(bench):
    bench.owner.set_lease(0.0)
    late = claim(bench.key(), budget_s=0.0)
    expected = Kind.DEADLINE_EXCEEDED, Ran.UNKNOWN
    assert _refused(bench.request(late)) == expected


def test_an_outage_refuses_claims_and_its_late_write_grants_none(bench):
    bench.hold_writes = True
    first = claim(bench.key())
    assert bench.request(first) == []
    start = len(bench.sent)
    bench.advance(owner.WRITE_STALL_S)
    expected = Kind.PLATFORM_UNAVAILABLE, Ran.NO
    replies = [e.message for e in bench.sent[start:]]
    assert _refused(replies) == expected
    assert replies[0].retry_after_s > 0
    assert _refused(bench.request(claim(bench.key(), "r2"))) == expected
    # The write takes effect late, after its claim was refused.
    (write,) = bench.held
    result = bench.service.put(write.key, write.value, write.version)
    bench.hold_writes = False
    lost = interface.Unavailable("timeout")
    emitted = bench.owner.write_result(bench.now, write.key, lost)
    bench.act(bench.owner, emitted)
    bench.advance(1.0)
    bench.advance(1.0)
    assert bench.service.get(write.key).version > result.version
    assert len(bench.sent) == start + 2
    again = first._replace(request_id="r3")
    assert bench.request(again) == [messages.Granted(0, "r3", 2)]


def test_a_key_past_the_retention_is_expired_not_new(bench):
    retention_s = builders_at_most_once.LIMITS.retention_s
    old = claim(bench.key(age_s=retention_s + 2))
    expected = Kind.KEY_EXPIRED, Ran.UNKNOWN
    assert _refused(bench.request(old)) == expected


def test_an_owner_with_a_slow_clock_respects_the_durable_floor(bench):
    first = claim(bench.key())
    bench.request(first)
    bench.request(outcome(first))
    bench.now += 60.0
    bench.request(claim(bench.key(), "r2"))
    bench.take_over()
    slow = bench.now + builders_at_most_once.EPOCH_S - 60.0
    bench.act(bench.owner, bench.owner.tick(bench.now, slow))
    emitted = bench.owner.request(bench.now, first)
    expected = Kind.KEY_EXPIRED, Ran.UNKNOWN
    assert _refused([e.message for e in emitted]) == expected


def test_a_damaged_log_makes_every_key_expired():
    layout = builders_at_most_once.LAYOUT._replace(page_entries=1)
    bench = builders_at_most_once.OwnerHarness(layout)
    first = claim(bench.key())
    bench.request(first)
    bench.request(outcome(first, DID_NOT_RUN))
    bench.advance(records.OUTCOME_WRITE_DELAY_S)
    again = first._replace(request_id="r2")
    assert bench.request(again) == [messages.Granted(0, "r2", 2)]
    damaged = log.page_key(0, 2)
    version = bench.service.get(damaged).version
    bench.service.put(damaged, b"\xc1", version)
    bench.take_over()
    for replies in (
        bench.request(first._replace(request_id="r3")),
        bench.request(claim(bench.key(), "r4")),
    ):
        assert _refused(replies) == (Kind.KEY_EXPIRED, Ran.UNKNOWN)


def test_a_late_chunk_of_a_deposed_owner_restores_no_old_state():
    layout = builders_at_most_once.LAYOUT._replace(page_entries=1)
    bench = builders_at_most_once.OwnerHarness(layout)
    first = claim(bench.key())
    bench.request(first)
    digest = key_lib.digest(first.caller, first.key)
    issued_s = key_lib.decode(first.key).issued_s
    old, new = (
        page.Entry(digest, b"body", issued_s, state, attempt)
        for state, attempt in [
            (page.State.DID_NOT_RUN, 1),
            (page.State.INTENT, 2),
        ]
    )
    for number, entry in enumerate([new, old]):
        stamp = page.WriteId(1, f"owner{number}", 1)
        packed = page.pack_entry(entry)
        chunk = page.Chunk(number, 0, stamp, 0, packed)
        key = log.chunk_key(0, number)
        bench.service.put(key, page.pack(chunk), 0)
    bench.take_over()
    replies = bench.request(first._replace(request_id="r2"))
    assert _refused(replies) == (Kind.MAY_HAVE_RUN, Ran.UNKNOWN)


def test_a_full_table_refuses_new_keys_as_not_run():
    bench = builders_at_most_once.OwnerHarness(entries=3)
    for number in range(3):
        bench.request(claim(bench.key(), f"r{number}"))
    replies = bench.request(claim(bench.key(), "r4"))
    assert _refused(replies) == (Kind.OVERLOADED, Ran.NO)


def test_a_full_log_refuses_until_keys_expire():
    bench = builders_at_most_once.OwnerHarness()
    kinds = [
        type(bench.request(claim(bench.key(), f"r{n}"))[-1]) for n in range(60)
    ]
    assert messages.Refused in kinds
    bench.advance(60.0)
    # The floor follows the newest key of callers, so a new key must arrive
    # before the old ones expire.
    bench.request(claim(bench.key(), "late"))
    for number in range(8):
        replies = bench.request(claim(bench.key(), f"s{number}"))
        assert replies == [messages.Granted(0, f"s{number}", 1)]


def test_all_keys_survive_compaction_and_takeover():
    layout = builders_at_most_once.LAYOUT._replace(chunks=40)
    bench = builders_at_most_once.OwnerHarness(layout)
    claims = [claim(bench.key(), f"r{n}") for n in range(60)]
    for sent in claims:
        bench.request(sent)
        bench.request(outcome(sent))
    bench.advance(records.OUTCOME_WRITE_DELAY_S)
    bench.take_over()
    for sent in claims:
        replies = bench.request(sent)
        assert replies == [messages.RanWithoutAnswer(0, sent.request_id)]


def test_draining_writes_outcomes_and_redirects_claims(bench):
    first = claim(bench.key())
    bench.request(first)
    bench.act(bench.owner, bench.owner.request(bench.now, outcome(first)))
    bench.now += owner.MIN_WRITE_INTERVAL_S
    bench.act(bench.owner, bench.owner.drain(bench.now))
    assert bench.owner.drained
    late = claim(bench.key(), "r2")
    assert bench.request(late) == [messages.NotOwner(0, "r2")]
    bench.take_over()
    again = first._replace(request_id="r3")
    assert bench.request(again) == [messages.RanWithoutAnswer(0, "r3")]


def test_a_clock_a_year_ahead_does_not_expire_keys_for_the_next_owner(bench):
    bench.request(claim(bench.key()))
    year_s = 365 * 86_400.0
    bench.take_over()
    wrong = builders_at_most_once.EPOCH_S + bench.now + year_s
    bench.act(bench.owner, bench.owner.tick(bench.now, wrong))
    emitted = bench.owner.request(bench.now, claim(bench.key(), "r2"))
    assert _refused([e.message for e in emitted])[0] is Kind.KEY_EXPIRED
    bench.take_over()
    replies = bench.request(claim(bench.key(), "r3"))
    assert replies == [messages.Granted(0, "r3", 1)]


def test_a_seal_that_overwrites_a_damaged_page_still_expires_its_keys():
    layout = builders_at_most_once.LAYOUT._replace(page_entries=1)
    bench = builders_at_most_once.OwnerHarness(layout)
    first = claim(bench.key())
    bench.request(claim(bench.key(), "r0"))
    bench.request(first)
    newest = log.page_key(0, 1)
    version = bench.service.get(newest).version
    bench.service.put(newest, b"\xc1", version)
    bench.hold_writes = True
    bench.take_over()
    (seal,) = bench.held
    bench.service.put(seal.key, seal.value, seal.version)
    bench.hold_writes = False
    bench.take_over()
    replies = bench.request(first._replace(request_id="r2"))
    assert _refused(replies) == (Kind.KEY_EXPIRED, Ran.UNKNOWN)
