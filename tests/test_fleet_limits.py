"""Tests of the fleet-wide limits on loads."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from azureline.fleet import engine_memory
from azureline.fleet import limits

CAP = 6
NAMES = ("n0", "n1", "n2")
DRIFT = {"n0": 1.0, "n1": 0.98, "n2": 1.02}
LENDER_LEASE_S = 3.0


class LimitsMachine(stateful.RuleBasedStateMachine):
    """Borrowers with drifting clocks, late or lost messages and takeovers."""

    lender_class = limits.Lender
    borrower_class = limits.Borrower
    wait_s = LENDER_LEASE_S + limits.SHARE_DURATION_S + limits.SHARE_MARGIN_S

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.lenders = [self.lender_class(CAP)]
        self.taken_over_at = float("-inf")
        self.borrowers = {n: self.borrower_class(n) for n in NAMES}
        self.requests = []
        self.shares = []
        self.in_transit = []

    def _clock(self, name):
        return 100.0 + self.now * DRIFT[name]

    def _lender(self, former):
        former_acts = former and self.now < self.taken_over_at + LENDER_LEASE_S
        return self.lenders[-2 if former_acts and len(self.lenders) > 1 else -1]

    @stateful.rule(
        name=st.sampled_from(NAMES),
        waiting=st.integers(0, 6),
        delivery=st.sampled_from(["served", "served", "late", "lost"]),
    )
    def ask(self, name, waiting, delivery="served"):
        clock = self._clock(name)
        request = self.borrowers[name].next_request(clock, waiting)
        if request is None or delivery == "lost":
            return
        self.requests.append(request)
        if delivery == "served":
            self.serve(-1)
            self.deliver(-1)

    @stateful.precondition(lambda self: self.requests)
    @stateful.rule(at=st.integers(0, 5), former=st.booleans())
    def serve(self, at, former=False):
        request = self.requests[at % len(self.requests)]
        self.shares.append(self._lender(former).handle(self.now, request))

    @stateful.precondition(lambda self: self.shares)
    @stateful.rule(at=st.integers(0, 5))
    def deliver(self, at):
        share = self.shares[at % len(self.shares)]
        borrower = self.borrowers[share.borrower]
        borrower.share_received(self._clock(share.borrower), share)

    @stateful.rule(name=st.sampled_from(NAMES))
    def start_all(self, name):
        while self.borrowers[name].start(self._clock(name)):
            self.in_transit.append((name, self.now + limits.ADAPTER_LOAD_MAX_S))

    @stateful.rule(seconds=st.sampled_from([0.1, 0.2, 0.5, 1.0, 2.0]))
    def wait(self, seconds):
        self.now += seconds
        for name, until in list(self.in_transit):
            if until <= self.now:
                self.in_transit.remove((name, until))
                self.borrowers[name].ended()

    @stateful.rule()
    def take_over(self):
        self.taken_over_at = self.now
        self.lenders.append(self.lender_class(CAP, self.now + self.wait_s))

    @stateful.invariant()
    def cap_holds(self):
        assert len(self.in_transit) <= CAP


def test_loads_in_transit_never_exceed_the_cap():
    stateful.run_state_machine_as_test(
        LimitsMachine,
        settings=hypothesis.settings(max_examples=400, stateful_step_count=25),
    )


class CountsTheLastLoan(limits.Lender):
    """Counts only the last loan, though its share may arrive late or never."""

    def _largest_loan(self, now, borrower):
        largest = super()._largest_loan(now, borrower)
        loans = self._accounts[borrower].loans if largest else ()
        return loans[-1].amount if loans else 0


class TakesStaleRequests(limits.Lender):
    """Lets a late copy of a request return a share lent after it."""

    def _account(self, now, borrower):
        return super()._account(now, borrower)._replace(number=0)


class CountsFromArrival(limits.Borrower):
    """Counts the duration of a share from its arrival."""

    def share_received(self, now, share):
        if share.number in self._sent_requests:
            self._sent_requests[share.number] = (now, share.amount)
        super().share_received(now, share)


class StartsPastTheEnd(limits.Borrower):
    """Starts loads that are still in progress when the share ends."""

    def _usable(self, now):
        return self._amount if now < self._until + 0.15 else 0


class GivesBackTooMuch(limits.Borrower):
    """Continues to use the part of a share that it has returned."""

    def next_request(self, now, waiting):
        request = super().next_request(now, waiting)
        return request and request._replace(kept_amount=0)


def _contend(machine):
    machine.ask("n0", 6)
    machine.start_all("n0")
    machine.wait(0.5)
    machine.ask("n1", 6, "late")
    machine.serve(-1)
    machine.ask("n0", 0, "late")
    machine.serve(-1)
    machine.ask("n2", 6)
    machine.start_all("n0")
    machine.start_all("n2")


def _stale_request(machine):
    machine.ask("n0", 6, "late")
    machine.wait(limits.RETRY_S)
    machine.ask("n0", 6)
    machine.ask("n1", 6, "late")
    machine.serve(-1)
    machine.serve(0)
    machine.ask("n2", 6)
    machine.start_all("n0")
    machine.start_all("n2")


def _late_share(machine):
    machine.ask("n0", 6, "late")
    machine.serve(0)
    machine.wait(1.0)
    machine.deliver(0)
    for seconds in (1.0, 0.1, 0.1):
        machine.wait(seconds)
    machine.ask("n1", 6)
    machine.start_all("n0")
    machine.start_all("n1")


def _last_moment(machine):
    machine.ask("n0", 6)
    machine.wait(2.0)
    machine.start_all("n0")
    machine.wait(0.1)
    machine.ask("n1", 6)
    machine.start_all("n1")


def _takeover(machine):
    machine.ask("n0", 6)
    machine.take_over()
    machine.ask("n1", 6)
    machine.start_all("n0")
    machine.start_all("n1")


@pytest.mark.parametrize(
    ("fault", "history"),
    [
        ({"lender_class": CountsTheLastLoan}, _contend),
        ({"lender_class": TakesStaleRequests}, _stale_request),
        ({"borrower_class": CountsFromArrival}, _late_share),
        ({"borrower_class": StartsPastTheEnd}, _last_moment),
        ({"borrower_class": GivesBackTooMuch}, _contend),
        ({"wait_s": 0.0}, _takeover),
    ],
)
def test_faulty_sharing_exceeds_the_cap_unlike_the_real_one(fault, history):
    broken = type("Broken", (LimitsMachine,), fault)()
    history(broken)
    assert len(broken.in_transit) > CAP
    sound = LimitsMachine()
    history(sound)
    assert len(sound.in_transit) <= CAP


def test_a_lone_borrower_gets_the_cap_and_contenders_fair_shares():
    lender = limits.Lender(12)
    assert lender.handle(0.0, limits.ShareRequest("n0", 1, 20, 0)).amount == 12
    assert lender.handle(0.2, limits.ShareRequest("n1", 1, 20, 0)).amount == 0
    assert lender.handle(0.4, limits.ShareRequest("n0", 2, 20, 8)).amount == 6
    assert lender.lent(0.4) == 8
    assert lender.handle(0.5, limits.ShareRequest("n1", 2, 20, 0)).amount == 4
    assert lender.handle(0.9, limits.ShareRequest("n0", 3, 0, 0)).amount == 0
    assert lender.lent(0.9) == 4


ENGINES = ("e1", "e2")


def test_store_permits_limit_the_rate_and_the_concurrent_loads():
    store = limits.StoreLimit(rate=2.0, at_once=2)
    for engine in ENGINES:
        store.unpermitted_loads_reported(engine, 0.0, 0)
    assert store.request_permit(0.0, "1", "e1", ENGINES)
    assert store.request_permit(0.1, "2", "e1", ENGINES).reason == "rate"
    assert store.request_permit(0.5, "2", "e1", ENGINES)
    assert store.request_permit(1.0, "3", "e2", ENGINES).reason == "at_once"
    store.load_ended("1")
    assert store.request_permit(1.0, "3", "e2", ENGINES)


def test_a_permit_without_reports_counts_until_its_load_must_have_ended():
    store = limits.StoreLimit(rate=2.0, at_once=1)
    for engine in ENGINES:
        store.unpermitted_loads_reported(engine, 0.0, 0)
    store.request_permit(0.0, "1", "e1", ENGINES)
    assert not store.request_permit(limits.STORE_LOAD_MAX_S, "2", "e1", ENGINES)
    assert store.request_permit(
        limits.STORE_LOAD_MAX_S + 12.0, "2", "e1", ENGINES
    )


def test_a_permit_is_released_when_its_order_expired_without_a_load():
    store = limits.StoreLimit(rate=2.0, at_once=1)
    for engine in ENGINES:
        store.unpermitted_loads_reported(engine, 0.0, 0)
    store.request_permit(0.0, "1", "e1", ENGINES)
    latest_start = engine_memory.latest_start(
        0.0, engine_memory.ORDER_EXPIRY_MAX_S
    )
    store.load_absent_from_report("1", latest_start - 0.1)
    assert not store.request_permit(20.0, "2", "e1", ENGINES)
    store.load_absent_from_report("1", latest_start)
    assert store.request_permit(20.0, "2", "e1", ENGINES)


def test_a_new_owner_counts_former_loads_before_it_issues_permits():
    store = limits.StoreLimit(rate=2.0, at_once=2, unsettled_until=20.0)
    assert store.request_permit(10.0, "1", "e1", ENGINES).reason == "unsettled"
    store.unpermitted_loads_reported("e1", 10.0, 0)
    store.unpermitted_loads_reported("e2", 21.0, 1)
    assert store.request_permit(21.0, "1", "e1", ENGINES).reason == "at_once"
    store.unpermitted_loads_reported("e1", 21.0, 0)
    assert store.request_permit(21.0, "1", "e1", ENGINES)
    assert store.request_permit(22.0, "2", "e1", ENGINES).reason == "at_once"
    assert not store.request_permit(
        20.0 + limits.STORE_LOAD_MAX_S, "2", "e1", ENGINES
    )
    assert store.request_permit(
        21.0 + limits.STORE_LOAD_MAX_S, "2", "e1", ENGINES
    )


def test_a_load_in_progress_after_its_permit_is_released_still_counts():
    store = limits.StoreLimit(rate=2.0, at_once=1)
    for engine in ENGINES:
        store.unpermitted_loads_reported(engine, 0.0, 0)
    assert store.request_permit(500.0, "1", "e1", ENGINES)
    store.load_ended("1")
    store.unpermitted_loads_reported("e1", 501.0, 1)
    assert store.request_permit(502.0, "2", "e2", ENGINES).reason == "at_once"
    store.unpermitted_loads_reported("e1", 503.0, 0)
    assert store.request_permit(504.0, "2", "e2", ENGINES)
