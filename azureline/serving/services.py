"""Calls to ledger engines and plain services."""

import math
import random
from typing import Any
from typing import NamedTuple

from twisted.internet import task

from azureline.backends import http
from azureline.callers import site
from azureline.core import clock as clocks
from azureline.core import errors
from azureline.fleet import directory as directories
from azureline.metrics import counters as metrics
from azureline.routing import breaker
from azureline.routing import retry

_REASONS = {429: retry.Reason.BUSY, 503: retry.Reason.LEAVING}


class NotStarted(NamedTuple):
    """Falsy sentinel: no backend server has started the call.

    Attributes:
      refusal: why not.
    """

    refusal: errors.Refusal

    def __bool__(self) -> bool:
        return False


class Unknown(NamedTuple):
    """Falsy sentinel: a backend server may have started the call.

    Attributes:
      reason: what went wrong, for logs.
    """

    reason: str

    def __bool__(self) -> bool:
        return False


class Services:
    """Sends calls to the servers of services."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        directory: directories.Directory,
        backends: http.BackendClient,
        breakers: breaker.Breakers,
        retries: retry.Retries,
        counters: metrics.Counters,
        rng: random.Random,
    ):
        """Creates the sender.

        Args:
          reactor: the Twisted reactor.
          clock: source of time.
          directory: says which servers a service has.
          backends: sends to servers.
          breakers: learns which servers fail.
          retries: decides on failed attempts of idempotent calls.
          counters: counts retries by reason.
          rng: spreads calls over the servers of a service.
        """
        self._reactor = reactor
        self._clock = clock
        self._directory = directory
        self._backends = backends
        self._breakers = breakers
        self._retries = retries
        self._counters = counters
        self._rng = rng

    async def repeatable(
        self, sent: site.ServiceRequest
    ) -> site.ServiceAnswer | errors.Refusal:
        """Carries out an idempotent call, again if an attempt fails."""
        self._retries.sent_first()
        tried: list[str] = []
        while True:
            server = self._choose(sent.call.service, tried)
            if isinstance(server, errors.Refusal):
                return server
            tried.append(server)
            reply = await self._attempt(sent, server)
            reason = self._judge(server, reply)
            if reason is None:
                return _answer(reply)
            decided = self._retries.decide(
                self._clock.now(), sent.call.deadline, len(tried), reason
            )
            if isinstance(decided, errors.Refusal):
                return decided
            self._counters.count(decided.counter)
            await self._sleep_until(decided.at)

    async def once(
        self, sent: site.ServiceRequest
    ) -> site.ServiceAnswer | NotStarted | Unknown:
        """Carries out a call that must not be repeated.

        Another server is tried only if the connection to the first one was
        never made, or the server itself says that it did not start the call.
        """
        tried: list[str] = []
        while True:
            if self._clock.now() >= sent.call.deadline:
                return NotStarted(_late())
            server = self._choose(sent.call.service, tried, again=False)
            if isinstance(server, errors.Refusal):
                return NotStarted(server)
            tried.append(server)
            reply = await self._attempt(sent, server)
            if isinstance(reply, http.Failure):
                self._breakers.failed(self._clock.now(), server)
                if reply.sent:
                    return Unknown(reply.reason)
                self._counters.count("retry.connect_failed")
                continue
            if reply.started:
                self._breakers.succeeded(self._clock.now(), server)
                return _answer(reply)
            self._counters.count("retry.busy")

    def _choose(
        self, service: str, tried: list[str], again: bool = True
    ) -> str | errors.Refusal:
        """Picks a server: untried ones first, of these one that is near."""
        now = self._clock.now()
        servers = self._directory.servers(service)
        fresh = [s for s in servers if s not in tried]
        usable = [s for s in fresh if self._breakers.permits(now, s)]
        near = [s for s in usable if self._directory.is_near(s)]
        choices = near or usable or fresh or (servers if again else [])
        if choices:
            return self._rng.choice(choices)
        return errors.Refusal(
            errors.ErrorKind.NO_REPLICA,
            f"No server of {service} can be reached.",
        )

    async def _attempt(
        self, sent: site.ServiceRequest, server: str
    ) -> http.Reply | http.Failure:
        call = sent.call
        now = self._clock.now()
        self._breakers.started(now, server)
        headers = {"X-Request-Id": call.request_id, "X-Caller": call.caller}
        if sent.content_type:
            headers["Content-Type"] = sent.content_type
        if call.key:
            headers["X-Key"] = call.key
        return await self._backends.call_service(
            self._directory.url(server) + call.path,
            sent.method.encode(),
            sent.body or None,
            headers,
            max(0.001, call.deadline - now),
        )

    def _judge(
        self, server: str, reply: http.Reply | http.Failure
    ) -> retry.Reason | None:
        """Notes how an attempt went; returns why it should be repeated."""
        now = self._clock.now()
        if isinstance(reply, http.Failure):
            self._breakers.failed(now, server)
            if reply.sent:
                return retry.Reason.BACKEND_DIED
            return retry.Reason.CONNECT_FAILED
        self._breakers.succeeded(now, server)
        return _REASONS.get(reply.status)

    async def _sleep_until(self, at: float) -> None:
        delay = max(0.0, at - self._clock.now())
        if math.isfinite(delay):
            await task.deferLater(self._reactor, delay, lambda: None)


def _answer(reply: http.Reply) -> site.ServiceAnswer:
    return site.ServiceAnswer(reply.status, reply.content_type, reply.body)


def _late() -> errors.Refusal:
    return errors.Refusal(
        errors.ErrorKind.DEADLINE_EXCEEDED,
        "The deadline passed before the call was sent.",
        ran=errors.Ran.NO,
    )
