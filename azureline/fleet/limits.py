"""Fleet-wide limits on loads from the weight store and on adapter loads.

The planner issues a permit for each load from the weight store.  Adapter
loads are far more frequent, so the planner lends each node a share of their
cap for a few seconds, and no single adapter load needs a message.
"""

from collections.abc import Collection
from collections.abc import Iterable
import math
from typing import NamedTuple

from azureline.fleet import engine_memory

STORE_LOAD_MAX_S = 120.0
"""Longest duration of a load from the weight store."""

SHARE_DURATION_S = 2.0
"""Duration of a share, counted from the time its request was sent."""

SHARE_MARGIN_S = 0.1
"""Allowance for clock drift, applied by both the borrower and the lender."""

ADAPTER_LOAD_MAX_S = 0.2
"""Longest duration of an adapter load.

A borrower starts no load later than this before the end of its share.
"""

RENEW_S = 0.5
"""Pause between the requests of a borrower that is using its share."""

RETRY_S = 0.25
"""Pause after a request that was not granted in full."""


class Permit(NamedTuple):
    """Permission to start one load from the weight store.

    Attributes:
      key: identity of the load: the id of its order.
      engine: name of the engine that loads.
      expires_in_s: seconds after which the load must not be started.
    """

    key: str
    engine: str
    expires_in_s: float


class PermitDenied(NamedTuple):
    """A falsy result of `StoreLimit.request_permit` in place of a permit.

    Attributes:
      reason: the limit that is reached, or "unsettled" while a former owner's
        permits may still be used.
      retry_after_s: seconds after which to ask again.
    """

    reason: str
    retry_after_s: float

    def __bool__(self) -> bool:
        return False


class _Issued(NamedTuple):
    permit: Permit
    start_deadline: float
    started: bool


class _UnpermittedLoads(NamedTuple):
    loading: int
    taken: float


class StoreLimit:
    """Limits the rate and the number of concurrent loads from the store."""

    def __init__(
        self,
        rate: float,
        at_once: int,
        unsettled_until: float = 0.0,
    ):
        """Creates a limit that does not know the loads of former owners yet.

        Args:
          rate: loads that may start per second.
          at_once: concurrent loads that the store serves at full speed.
          unsettled_until: time in seconds until which a load with a former
            owner's permit may start; see `engine_memory.takeover_settles_at`.
        """
        self._interval = 1.0 / rate
        self._at_once = at_once
        self._unsettled_until = unsettled_until
        self._next_start = 0.0
        self._issued: dict[str, _Issued] = {}
        self._unpermitted: dict[str, _UnpermittedLoads] = {}

    def request_permit(
        self, now: float, key: str, engine: str, engines: Collection[str]
    ) -> Permit | PermitDenied:
        """Issues a permit for a load if both limits allow it.

        Args:
          now: time in seconds.
          key: identity of the load.
          engine: name of the engine.
          engines: all engines that are alive; loads in progress on them
            without a permit of this owner count too.
        """
        if now < self._unsettled_until:
            return PermitDenied("unsettled", self._unsettled_until - now)
        if now < self._next_start:
            return PermitDenied("rate", self._next_start - now)
        if self.in_use(now, engines) >= self._at_once:
            return PermitDenied("at_once", self._interval)
        self._next_start = now + self._interval
        permit = Permit(key, engine, engine_memory.ORDER_EXPIRY_MAX_S)
        start_deadline = engine_memory.latest_start(now, permit.expires_in_s)
        self._issued[key] = _Issued(permit, start_deadline, False)
        return permit

    def free(self, now: float, engines: Collection[str]) -> int:
        """Returns how many permits `request_permit` would issue now: 0 or 1."""
        if now < max(self._unsettled_until, self._next_start):
            return 0
        return int(self.in_use(now, engines) < self._at_once)

    def in_use(self, now: float, engines: Collection[str]) -> int:
        """Returns an upper bound of the loads in progress.

        Args:
          now: time in seconds.
          engines: all engines that are alive.
        """
        for key, issued in list(self._issued.items()):
            if now >= issued.start_deadline + STORE_LOAD_MAX_S:
                del self._issued[key]
        return len(self._issued) + self._unpermitted_loads(now, engines)

    def load_ended(self, key: str) -> None:
        """Releases the permit of a load that a report shows as ended."""
        self._issued.pop(key, None)

    def load_absent_from_report(self, key: str, taken: float) -> None:
        """Releases the permit of a load if its order must have been lost.

        Args:
          key: identity of the load.
          taken: earliest time in seconds at which a report that does not show
            the load can have been taken.
        """
        issued = self._issued.get(key)
        if issued is not None and taken >= issued.start_deadline:
            del self._issued[key]

    def unpermitted_loads_reported(
        self, engine: str, taken: float, loading: int
    ) -> None:
        """Records the loads in progress that hold no permit of this owner.

        A former owner permitted them, or this owner did and released the
        permit although the load was still in progress.

        Args:
          engine: name of the engine.
          taken: earliest time in seconds at which the engine's report can have
            been taken.
          loading: number of loads in progress without a permit of this owner.
        """
        if taken >= self._unsettled_until:
            self._unpermitted[engine] = _UnpermittedLoads(loading, taken)

    def _unpermitted_loads(self, now: float, engines: Iterable[str]) -> int:
        known = [self._unpermitted.get(engine) for engine in engines]
        if None in known and now < self._unsettled_until + STORE_LOAD_MAX_S:
            return self._at_once
        loading = sum(
            seen.loading
            for seen in known
            if seen is not None and now < seen.taken + STORE_LOAD_MAX_S
        )
        return min(self._at_once, loading)


class ShareRequest(NamedTuple):
    """A borrower's request for a share, which returns what it does not use.

    Attributes:
      borrower: name of the node.
      number: grows with each request of the borrower.
      wanted: concurrent adapter loads that the borrower expects.
      kept_amount: concurrent loads to which the borrower limits itself until
        the reply arrives.
    """

    borrower: str
    number: int
    wanted: int
    kept_amount: int


class Share(NamedTuple):
    """A part of the cap, lent to a borrower in reply to its request.

    Attributes:
      borrower: name of the node.
      number: number of the request.
      amount: concurrent adapter loads that the borrower may have; may be 0.
      expires_in_s: duration in seconds, counted from the time the request was
        sent.
      retry_after_s: seconds after which a borrower that wanted more should ask
        again.
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
    """Lends shares of the cap and lends no part while it may be in use."""

    def __init__(self, cap: int, unsettled_until: float = 0.0):
        """Creates a lender that lends nothing until former shares expire.

        Args:
          cap: concurrent adapter loads across all engines.
          unsettled_until: time in seconds until which shares lent by a
            former owner may be in use.
        """
        self._cap = cap
        self._unsettled_until = unsettled_until
        self._accounts: dict[str, _Account] = {}
        self._wanted: dict[str, _Loan] = {}

    def lent(self, now: float) -> int:
        """Returns how many concurrent loads the borrowers may have now."""
        if now < self._unsettled_until:
            return self._cap
        return sum(
            self._largest_loan(now, name) for name in list(self._accounts)
        )

    def _account(self, now: float, borrower: str) -> _Account:
        if not self._largest_loan(now, borrower):
            self._accounts.pop(borrower, None)
        return self._accounts.get(borrower, _Account(0, ()))

    def handle(self, now: float, request: ShareRequest) -> Share:
        """Returns a share for a request; its amount is 0 if the cap is lent.

        Args:
          now: time in seconds.
          request: the request; an old or repeated one gets an amount of 0.
        """
        account = self._account(now, request.borrower)
        if request.number <= account.number:
            return self._share(request, 0, RETRY_S)
        self._wanted[request.borrower] = _Loan(request.wanted, now + RENEW_S)
        loans = tuple(
            loan._replace(amount=min(loan.amount, request.kept_amount))
            for loan in account.loans
        )
        self._accounts[request.borrower] = _Account(request.number, loans)
        if now < self._unsettled_until:
            return self._share(request, 0, self._unsettled_until - now)
        others = self.lent(now) - self._largest_loan(now, request.borrower)
        amount = min(request.wanted, self._cap - others, self._fair_share(now))
        return self._lend(now, request, max(0, amount))

    def _lend(self, now: float, request: ShareRequest, amount: int) -> Share:
        if amount:
            loan = _Loan(amount, now + SHARE_DURATION_S + SHARE_MARGIN_S)
            account = self._accounts[request.borrower]
            self._accounts[request.borrower] = account._replace(
                loans=(*account.loans, loan)
            )
        return self._share(request, amount, RETRY_S)

    def _share(self, request: ShareRequest, amount: int, retry: float) -> Share:
        return Share(
            request.borrower, request.number, amount, SHARE_DURATION_S, retry
        )

    def _fair_share(self, now: float) -> int:
        """Returns the largest share at which all recent requests fit."""
        for name, demand in list(self._wanted.items()):
            if demand.until <= now:
                del self._wanted[name]
        left, demands = (
            self._cap,
            sorted(w.amount for w in self._wanted.values()),
        )
        for at, demand in enumerate(demands):
            level = math.ceil(left / (len(demands) - at))
            if demand > level:
                return max(1, level)
            left -= demand
        return self._cap

    def _largest_loan(self, now: float, borrower: str) -> int:
        """Returns the amount of the largest unexpired loan of a borrower."""
        account = self._accounts.get(borrower)
        if account is None:
            return 0
        loans = tuple(loan for loan in account.loans if loan.until > now)
        self._accounts[borrower] = account._replace(loans=loans)
        return max((loan.amount for loan in loans), default=0)


class Borrower:
    """Starts adapter loads within a share, measured on its own clock."""

    def __init__(self, name: str):
        """Creates a borrower without a share.

        Args:
          name: name of the node, unique to this process, so that a late
            request of a former process cannot return this one's share.
        """
        self._name = name
        self._number = 0
        self._sent_requests: dict[int, tuple[float, int]] = {}
        self._amount = 0
        self._until = float("-inf")
        self._in_transit = 0
        self._peak = 0
        self._ask_at = float("-inf")
        self._asked_at = float("-inf")

    @property
    def in_transit(self) -> int:
        """Number of adapter loads in progress."""
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
        """Counts an adapter load as ended."""
        self._in_transit = max(0, self._in_transit - 1)

    def next_request(self, now: float, waiting: int) -> ShareRequest | None:
        """Returns a request to send now, or None.

        The borrower renews a share every `RENEW_S` while it is in use, asks
        without that pause when loads wait, and returns what it has not used
        since its last request.

        Args:
          now: time in seconds.
          waiting: adapter loads that could not start.
        """
        usable = self._usable(now)
        loads_wait = waiting > 0
        if now < self._ask_at or not (loads_wait or usable):
            return None
        wanted = max(self._in_transit + waiting, self._peak)
        if not loads_wait and now < self._asked_at + RENEW_S:
            return None
        self._number += 1
        self._sent_requests = {self._number: (now, wanted)}
        self._asked_at = now
        self._ask_at = now + RETRY_S
        self._amount = min(self._amount, max(self._peak, self._in_transit))
        self._peak = self._in_transit
        kept_amount = max(self._amount, self._in_transit)
        return ShareRequest(self._name, self._number, wanted, kept_amount)

    def share_received(self, now: float, share: Share) -> None:
        """Takes a share, unless it answers an earlier request.

        Args:
          now: time in seconds at which the share arrived.
          share: the lender's reply.
        """
        if share.number not in self._sent_requests:
            return
        sent_at, wanted = self._sent_requests.pop(share.number)
        if share.amount:
            self._amount = share.amount
            self._until = sent_at + share.expires_in_s - SHARE_MARGIN_S
        if share.amount < wanted:
            self._ask_at = now + share.retry_after_s

    def _usable(self, now: float) -> int:
        return self._amount if now < self._until - ADAPTER_LOAD_MAX_S else 0
