"""Seeded histories with mixed failures, and faulty code they must detect."""

import collections
import gc

import pytest

from azureline.at_most_once import entry_call
from azureline.at_most_once import key as key_lib
from azureline.at_most_once import log
from azureline.at_most_once import messages
from azureline.at_most_once import owner
from azureline.at_most_once import page
from azureline.at_most_once import table
from azureline.core import errors
from azureline.platform import interface
from tests import builders_at_most_once

HISTORIES = 10_000
FAULT_HISTORIES = 3_000
COLLECT_EVERY = 200


@pytest.fixture
def _rare_collections():
    """Collects garbage between histories only, which saves a fifth of time."""
    gc.disable()
    yield
    gc.enable()


@pytest.mark.usefixtures("_rare_collections")
def test_ten_thousand_histories_keep_the_guarantees(capsys):
    counts = collections.Counter()
    for seed in range(HISTORIES):
        world = builders_at_most_once.Simulation(seed)
        world.play()
        assert world.violations() == [], f"seed {seed}"
        assert world.owners[-1].owner.active, f"seed {seed}"
        if seed % COLLECT_EVERY == 0:
            gc.collect()
        counts["histories"] += 1
        counts["with two or more failures"] += len(world.failures) >= 2
        counts["keys"] += len(world.sent)
        counts["runs"] += sum(map(len, world.runs.values()))
        counts["answers"] += len(world.replies)
        counts.update(_late_runs(world))
    with capsys.disabled():
        print(f"\n{dict(counts)}")
    assert counts["with two or more failures"] >= 0.99 * HISTORIES
    assert counts["runs"] >= 0.7 * counts["keys"]


def _late_runs(world):
    """Counts "not run" replies for keys that ran before the reply."""
    counts = collections.Counter({"not run, then run": 0})
    for reply in world.replies:
        result = reply.result
        if isinstance(result, messages.Answer):
            continue
        if result.kind is errors.ErrorKind.KEY_REUSED:
            continue
        runs = world.runs.get(reply.identity)
        if result.answer.ran is errors.Ran.NO and runs:
            counts["not run, then run"] += runs[0].at < reply.at
    return counts


_EMPTY_PAGE = page.Page(0, True, page.WriteId(0, "", 0), 0, ())


class GrantBeforeWrite(owner.Owner):
    def _flush(self, now):
        emitted = super()._flush(now)
        if any(isinstance(e, log.effects.Write) for e in emitted):
            emitted += self._claim_handler.batch_durable(now, 0)
        return emitted


class TrustTheLease(owner.Owner):
    def write_result(self, now, key, result):
        if self.active and isinstance(result, interface.Conflict):
            version = result.current.version if result.current else 0
            result = interface.Entry(b"", version)
        return super().write_result(now, key, result)


class ForgetTheLog(owner.Owner):
    def _activate(self, now):
        self._takeover._table = table.Table()
        self._table.__init__()
        return super()._activate(now)


class LostAnswerIsSuccess(owner.Owner):
    def write_result(self, now, key, result):
        if self.active and isinstance(result, interface.Unavailable):
            result = interface.Entry(b"", 1)
        return super().write_result(now, key, result)


class LostNodeDidNotRun(owner.Owner):
    def node_lost(self, now, node):
        emitted = []
        for pending in (
            self._claim_handler._claims.held_by_node(node)
            if self.active
            else ()
        ):
            gone = messages.Withdraw(
                0,
                pending.caller,
                pending.key.text,
                node,
                pending.grant_holder.request_id,
            )
            emitted += self.request(now, gone)
        return emitted


class AnyAttempt(owner.Owner):
    def request(self, now, message):
        if self.active and isinstance(message, messages.Outcome):
            message = message._replace(attempt=_last_attempt(self, message))
        return super().request(now, message)


def _last_attempt(slot_owner, message):
    key = key_lib.decode(message.key)
    digest = key_lib.digest(message.caller, key.text)
    known = slot_owner._table.get(digest, key.issued_s)
    return known.attempt if known else message.attempt


class NotRunWithoutLease(owner.Owner):
    def set_lease(self, until):
        super().set_lease(float("inf"))


class RecycleUncompacted(owner.Owner):
    """Overwrites pages that are not compacted, and hides the gap this leaves.

    A gap that is noticed makes all keys expire, so no key would run twice.
    """

    def write_result(self, now, key, result):
        emitted = super().write_result(now, key, result)
        if self.active and "/page/" in key:
            self._log._closed_pages.clear()
        return emitted

    def _activate(self, now):
        pages = self._takeover._pages()
        head = self._takeover._sealed.sequence
        pages_or_empty = {
            number: pages.get(number, _EMPTY_PAGE) for number in range(head + 1)
        }
        self._takeover._pages = lambda: pages_or_empty
        return owner.Owner._activate(self, now)


class ForgottenIsNew(owner.Owner):
    def _activate(self, now):
        emitted = super()._activate(now)
        self._records.check_unknown_key = lambda wall, key: None
        return emitted


class LostAnswerDidNotRun(entry_call.Call):
    def unknown(self, now, reason):
        return self.not_run(now, reason)


class DispatchTwice(entry_call.Call):
    def reply(self, now, message):
        if isinstance(message, messages.Granted):
            self._state = entry_call._Waiting()
        return super().reply(now, message)


OWNER_FAULTS = [
    GrantBeforeWrite,
    TrustTheLease,
    ForgetTheLog,
    LostAnswerIsSuccess,
    LostNodeDidNotRun,
    AnyAttempt,
    NotRunWithoutLease,
    RecycleUncompacted,
    ForgottenIsNew,
]
CALL_FAULTS = [LostAnswerDidNotRun, DispatchTwice]


def _first_failing_seed(**kinds):
    for seed in range(FAULT_HISTORIES):
        world = builders_at_most_once.Simulation(seed, **kinds)
        world.play()
        if world.violations():
            return seed
    return None


@pytest.mark.parametrize("kind", OWNER_FAULTS)
def test_a_faulty_owner_is_found(kind):
    assert _first_failing_seed(owner_kind=kind) is not None


@pytest.mark.parametrize("kind", CALL_FAULTS)
def test_a_faulty_entry_node_is_found(kind):
    assert _first_failing_seed(call_kind=kind) is not None
