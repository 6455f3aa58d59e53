"""Limits that all nodes keep together: the weight store and adapter loads.

The owner of the planning gives one permit for each load from the weight
store.  Adapter loads are far more frequent, so the owner of the limits lends
shares of their cap for a few seconds, and no single load needs a message.
"""

from collections.abc import Collection
from collections.abc import Iterable
import math
from typing import NamedTuple

from azureline.fleet import book

LOAD_MAX_S = 120.0
"""Longest load from the weight store, counted from its start."""

LEND_S = 2.0
"""Duration of a lent share, counted from the sending of its request."""

LEND_MARGIN_S = 0.1
"""Allowance for clock drift, kept by the borrower and by the lender."""

TRANSIT_MAX_S = 0.2
"""Longest that an adapter load is in transit; none starts later than this
before the end of its share."""

RENEW_S = 0.5
"""Pause between requests of a borrower that uses its share."""

RETRY_S = 0.25
"""Pause in seconds after a request that was not met in full."""


class Permit(NamedTuple):
    """Leave to start one load from the weight store.

    Attributes:
      key: identity of the load, the order's id.
      engine: name of the engine that loads.
      expires_in_s: seconds after which the load must not be started.
    """

    key: str
    engine: str
    expires_in_s: float


class Denied(NamedTuple):
    """A falsy sentinel in place of a permit or a share.

    Attributes:
      reason: what is used up.
      retry_after_s: seconds after which to ask again.
    """

    reason: str
    retry_after_s: float

    def __bool__(self) -> bool:
        return False


class _Given(NamedTuple):
    permit: Permit
    dead_at: float
    started: bool


class _Seen(NamedTuple):
    loading: int
    taken: float


class StoreLimit:
    """Gives permits for loads by rate and by number at once."""

    def __init__(
        self,
        rate: float,
        at_once: int,
        unsettled_until: float = 0.0,
    ):
        """Starts with the loads of former owners unknown.

        Args:
          rate: loads that may start in a second.
          at_once: loads that the store serves at full speed.
          unsettled_until: time in seconds until which a permit of a former
            owner may start; see `book.takeover_settles_at`.
        """
        self._interval = 1.0 / rate
        self._at_once = at_once
        self._unsettled_until = unsettled_until
        self._next_start = 0.0
        self._given: dict[str, _Given] = {}
        self._inherited: dict[str, _Seen] = {}

    def ask(
        self, now: float, key: str, engine: str, engines: Collection[str]
    ) -> Permit | Denied:
        """Gives a permit for a load if both limits allow it.

        Args:
          now: time in seconds.
          key: identity of the load.
          engine: name of the engine.
          engines: all engines that are alive, whose inherited loads count.
        """
        if now < self._unsettled_until:
            return Denied("unsettled", self._unsettled_until - now)
        if now < self._next_start:
            return Denied("rate", self._next_start - now)
        if self.in_use(now, engines) >= self._at_once:
            return Denied("at_once", self._interval)
        self._next_start = now + self._interval
        permit = Permit(key, engine, book.ORDER_EXPIRY_MAX_S)
        dead_at = book.latest_start(now, permit.expires_in_s)
        self._given[key] = _Given(permit, dead_at, False)
        return permit

    def free(self, now: float, engines: Collection[str]) -> int:
        """Returns how many permits would be given now: none or one."""
        if now < max(self._unsettled_until, self._next_start):
            return 0
        return int(self.in_use(now, engines) < self._at_once)

    def in_use(self, now: float, engines: Collection[str]) -> int:
        """Returns the most loads that may be in progress.

        Args:
          now: time in seconds.
          engines: all engines that are alive.
        """
        for key, given in list(self._given.items()):
            if now >= given.dead_at + LOAD_MAX_S:
                del self._given[key]
        return len(self._given) + self._former(now, engines)

    def ended(self, key: str) -> None:
        """Takes back the permit of a load that a report shows as settled."""
        self._given.pop(key, None)

    def not_seen(self, key: str, taken: float) -> None:
        """Takes back the permit of a load whose order must have been lost.

        Args:
          key: identity of the load.
          taken: earliest time at which the report was taken that does not
            show the load.
        """
        given = self._given.get(key)
        if given is not None and taken >= given.dead_at:
            del self._given[key]

    def seen(self, engine: str, taken: float, loading: int) -> None:
        """Notes the loads in progress that hold no permit of this owner.

        They are a former owner's, or this owner's whose permit was taken
        back while the load was under way after all.

        Args:
          engine: name of the engine.
          taken: earliest time at which its report can have been taken.
          loading: loads in progress that this owner has not permitted.
        """
        if taken >= self._unsettled_until:
            self._inherited[engine] = _Seen(loading, taken)

    def _former(self, now: float, engines: Iterable[str]) -> int:
        known = [self._inherited.get(engine) for engine in engines]
        if None in known and now < self._unsettled_until + LOAD_MAX_S:
            return self._at_once
        loading = sum(
            seen.loading
            for seen in known
            if seen is not None and now < seen.taken + LOAD_MAX_S
        )
        return min(self._at_once, loading)


class Request(NamedTuple):
    """A borrower's wish, with which it gives back what it does not use.

    Attributes:
      borrower: name of the node.
      number: grows with each request of the borrower.
      wanted: adapter loads in transit that it expects at once.
      keeps: loads to which it limits itself until the answer arrives.
    """

    borrower: str
    number: int
    wanted: int
    keeps: int


class Share(NamedTuple):
    """A part of the cap, lent to a borrower.

    Attributes:
      borrower: name of the node.
      number: the request that it answers.
      amount: adapter loads that may be in transit at once; may be 0.
      expires_in_s: duration, counted from the sending of the request.
      retry_after_s: advice for a borrower that wanted more.
    """

    borrower: str
    number: int
    amount: int
    expires_in_s: float
    retry_after_s: float


class _Loan(NamedTuple):
    amount: int
    until: float


class _Account(NamedTuple):
    number: int
    loans: tuple[_Loan, ...]


class Lender:
    """Lends the cap; what may still be used is never lent twice."""

    def __init__(self, cap: int, unsettled_until: float = 0.0):
        """Starts with nothing lent, once former shares have run out.

        Args:
          cap: adapter loads in transit across all engines.
          unsettled_until: time in seconds until which shares lent by a
            former owner may be in use.
        """
        self._cap = cap
        self._unsettled_until = unsettled_until
        self._accounts: dict[str, _Account] = {}
        self._wanted: dict[str, _Loan] = {}

    def lent(self, now: float) -> int:
        """Returns the sum of what borrowers may be using."""
        if now < self._unsettled_until:
            return self._cap
        return sum(self._held(now, name) for name in list(self._accounts))

    def _account(self, now: float, borrower: str) -> _Account:
        if not self._held(now, borrower):
            self._accounts.pop(borrower, None)
        return self._accounts.get(borrower, _Account(0, ()))

    def handle(self, now: float, request: Request) -> Share:
        """Answers a request, with nothing if the cap is lent.

        Args:
          now: time in seconds.
          request: the wish; one that is late or a copy gets nothing.
        """
        account = self._account(now, request.borrower)
        if request.number <= account.number:
            return self._share(request, 0, RETRY_S)
        self._wanted[request.borrower] = _Loan(request.wanted, now + RENEW_S)
        loans = tuple(
            loan._replace(amount=min(loan.amount, request.keeps))
            for loan in account.loans
        )
        self._accounts[request.borrower] = _Account(request.number, loans)
        if now < self._unsettled_until:
            return self._share(request, 0, self._unsettled_until - now)
        others = self.lent(now) - self._held(now, request.borrower)
        amount = min(request.wanted, self._cap - others, self._fair(now))
        return self._lend(now, request, max(0, amount))

    def _lend(self, now: float, request: Request, amount: int) -> Share:
        if amount:
            loan = _Loan(amount, now + LEND_S + LEND_MARGIN_S)
            account = self._accounts[request.borrower]
            self._accounts[request.borrower] = account._replace(
                loans=(*account.loans, loan)
            )
        return self._share(request, amount, RETRY_S)

    def _share(self, request: Request, amount: int, retry: float) -> Share:
        return Share(request.borrower, request.number, amount, LEND_S, retry)

    def _fair(self, now: float) -> int:
        """Returns the largest share at which all recent wishes fit."""
        for name, wish in list(self._wanted.items()):
            if wish.until <= now:
                del self._wanted[name]
        left, wishes = (
            self._cap,
            sorted(w.amount for w in self._wanted.values()),
        )
        for at, wish in enumerate(wishes):
            level = math.ceil(left / (len(wishes) - at))
            if wish > level:
                return max(1, level)
            left -= wish
        return self._cap

    def _held(self, now: float, borrower: str) -> int:
        """Returns the largest loan that a borrower may still hold."""
        account = self._accounts.get(borrower)
        if account is None:
            return 0
        loans = tuple(loan for loan in account.loans if loan.until > now)
        self._accounts[borrower] = account._replace(loans=loans)
        return max((loan.amount for loan in loans), default=0)


class Borrower:
    """Spends a lent share on adapter loads, on its own clock."""

    def __init__(self, name: str):
        """Starts with no share.

        Args:
          name: name of the node, unique to this process, so that a late
            request of a former process cannot give this one's share back.
        """
        self._name = name
        self._number = 0
        self._asked: dict[int, tuple[float, int]] = {}
        self._amount = 0
        self._until = float("-inf")
        self._in_transit = 0
        self._peak = 0
        self._ask_at = float("-inf")
        self._asked_at = float("-inf")

    @property
    def in_transit(self) -> int:
        """Adapter loads under way."""
        return self._in_transit

    def start(self, now: float) -> bool:
        """Counts an adapter load as started if the share allows it.

        Args:
          now: time in seconds, read immediately before the order is sent.
        """
        if self._in_transit < self._usable(now):
            self._in_transit += 1
            self._peak = max(self._peak, self._in_transit)
            return True
        return False

    def ended(self) -> None:
        """Counts an adapter load as out of transit."""
        self._in_transit = max(0, self._in_transit - 1)

    def ask(self, now: float, waiting: int) -> Request | None:
        """Returns a request if it is time for one.

        A share is renewed while it is in use, asked for at once when loads
        wait, and given back when it has not been used for a while.

        Args:
          now: time in seconds.
          waiting: adapter loads that could not be started.
        """
        usable = self._usable(now)
        short = waiting > 0
        if now < self._ask_at or not (short or usable):
            return None
        wanted = max(self._in_transit + waiting, self._peak)
        if not short and now < self._asked_at + RENEW_S:
            return None
        self._number += 1
        self._asked = {self._number: (now, wanted)}
        self._asked_at = now
        self._ask_at = now + RETRY_S
        self._amount = min(self._amount, max(self._peak, self._in_transit))
        self._peak = self._in_transit
        keeps = max(self._amount, self._in_transit)
        return Request(self._name, self._number, wanted, keeps)

    def granted(self, now: float, share: Share) -> None:
        """Takes in a share; one for an earlier request is ignored.

        Args:
          now: time in seconds of its arrival.
          share: what the lender answered.
        """
        if share.number not in self._asked:
            return
        asked, wanted = self._asked.pop(share.number)
        if share.amount:
            self._amount = share.amount
            self._until = asked + share.expires_in_s - LEND_MARGIN_S
        if share.amount < wanted:
            self._ask_at = now + share.retry_after_s

    def _usable(self, now: float) -> int:
        return self._amount if now < self._until - TRANSIT_MAX_S else 0
