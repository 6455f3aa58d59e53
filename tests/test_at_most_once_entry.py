"""Tests of the state of a request at its entry node."""

import random

import pytest

from azureline.at_most_once import entry_call
from azureline.at_most_once import messages
from azureline.core import errors
from tests import builders_at_most_once

ANSWER = messages.Answer(200, (), b"done")
BROKEN = errors.Refusal(errors.ErrorKind.BACKEND_FAILED, "connection lost")
GRANTED = messages.Granted(0, "r1", 1)
KEY = "01890a5d-ac96-774b-bcce-b302099a8057"


@pytest.fixture
def call():
    claim = builders_at_most_once.claim(KEY, budget_s=5.0)
    new_call = entry_call.Call(claim, 0.0, random.Random(1))
    new_call.start(0.0)
    return new_call


def _results(effects):
    return [
        messages.Result(e.message.result)
        for e in effects
        if isinstance(e, entry_call.SendToOwner)
        and isinstance(e.message, messages.Outcome)
    ]


def _finished(effects):
    (finish,) = (e for e in effects if isinstance(e, entry_call.Finish))
    return finish.result


def test_a_repeated_grant_is_dispatched_once(call):
    assert call.reply(0.1, GRANTED) == [entry_call.Dispatch(1)]
    assert call.reply(0.1, GRANTED) == []
    assert call.try_dispatch(0.2)
    assert not call.try_dispatch(0.2)


def test_a_frozen_node_does_not_dispatch_after_the_deadline(call):
    call.reply(0.1, GRANTED)
    assert not call.try_dispatch(7.0)
    effects = call.tick(7.0)
    assert _results(effects) == [messages.Result.DID_NOT_RUN]
    assert _finished(effects).ran is errors.Ran.NO


def test_a_broken_connection_is_reported_as_unknown(call):
    call.reply(0.1, GRANTED)
    call.try_dispatch(0.2)
    effects = call.unknown(1.0, BROKEN)
    assert _results(effects) == [messages.Result.UNKNOWN]
    assert _finished(effects).ran is errors.Ran.UNKNOWN


def test_an_answer_after_the_deadline_still_reaches_the_owner(call):
    call.reply(0.1, GRANTED)
    call.try_dispatch(0.2)
    assert _finished(call.tick(5.0)).ran is errors.Ran.UNKNOWN
    effects = call.ran(6.0, ANSWER)
    assert [type(e) for e in effects] == [entry_call.SendToOwner]
    assert effects[0].message.answer == ANSWER


def test_an_outcome_is_repeated_until_it_is_acknowledged(call):
    call.reply(0.1, GRANTED)
    call.try_dispatch(0.2)
    call.ran(0.3, ANSWER)
    assert _results(call.tick(call.wake_at())) == [messages.Result.RAN]
    assert not call.done
    call.reply(3.0, messages.OutcomeTaken(0, "r1", 1))
    assert call.done


def test_an_abandoned_call_reports_a_late_grant_as_not_run(call):
    effects = call.tick(5.0)
    assert _finished(effects).answer.ran is errors.Ran.UNKNOWN
    assert _finished(effects).answer.retry_after_s is not None
    late = call.reply(6.0, GRANTED)
    assert _results(late) == [messages.Result.DID_NOT_RUN]


def test_a_caller_that_left_before_the_grant_withdraws(call):
    (effect,) = call.caller_disconnected(0.1)
    assert isinstance(effect.message, messages.Withdraw)


def test_claims_are_resent_with_the_budget_left(call):
    (effect,) = call.tick(1.0)
    assert effect.message.request_id == "r1"
    assert effect.message.budget_s == 4.0 - entry_call.REPLY_MARGIN_S


def test_a_new_owner_gets_the_claim_soon(call):
    call.tick(1.0)
    call.owner_changed(1.1)
    assert call.wake_at() <= 1.1 + entry_call.NOT_OWNER_DELAY_S


def test_a_long_answer_is_not_sent_to_the_owner(call):
    call.reply(0.1, GRANTED)
    call.try_dispatch(0.2)
    body = b"x" * (entry_call.MAX_CACHED_ANSWER_BYTES + 1)
    effects = call.ran(0.3, ANSWER._replace(body=body))
    assert _finished(effects).body == body
    assert effects[-1].message.answer is None
