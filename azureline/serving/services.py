"""Sends calls to ledger engines and plain services."""

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


class OutcomeUnknown(NamedTuple):
    """Falsy sentinel: a backend server may have started the call.

    Attributes:
      reason: the failure, for logs.
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
        retries: retry.RetryPolicy,
        counters: metrics.Counters,
        rng: random.Random,
    ):
        """Creates the sender.

        Args:
          reactor: the Twisted reactor.
          clock: source of time.
          directory: the servers of each service.
          backends: sends calls to servers.
          breakers: records failures per server.
          retries: decides whether failed idempotent calls are repeated.
          counters: counts retries by reason.
          rng: chooses among the servers of a service.
        """
        self._reactor = reactor
        self._clock = clock
        self._directory = directory
        self._backends = backends
        self._breakers = breakers
        self._retries = retries
        self._counters = counters
        self._rng = rng

    async def call_idempotent(
        self, request: site.ServiceRequest
    ) -> site.ServiceAnswer | errors.Refusal:
        """Runs an idempotent call and retries it if an attempt fails."""
        self._retries.add_first_send()
        tried: list[str] = []
        while True:
            server = self._choose(request.call.service, tried)
            if isinstance(server, errors.Refusal):
                return server
            tried.append(server)
            reply = await self._send(request, server)
            reason = self._record_attempt(server, reply)
            if reason is None:
                return _answer(reply)
            decision = self._retries.decide(
                self._clock.now(), request.call.deadline, len(tried), reason
            )
            if isinstance(decision, errors.Refusal):
                return decision
            self._counters.count(decision.counter)
            await self._sleep_until(decision.at)

    async def call_non_idempotent(
        self, request: site.ServiceRequest
    ) -> site.ServiceAnswer | NotStarted | OutcomeUnknown:
        """Runs a non-idempotent call.

        Another server is tried only if the connection to the first one failed
        before the call was sent, or the server reports that it did not start
        the call.
        """
        tried: list[str] = []
        while True:
            if self._clock.now() >= request.call.deadline:
                return NotStarted(_deadline_refusal())
            server = self._choose(
                request.call.service, tried, retry_tried=False
            )
            if isinstance(server, errors.Refusal):
                return NotStarted(server)
            tried.append(server)
            reply = await self._send(request, server)
            if isinstance(reply, http.Failure):
                self._breakers.failed(self._clock.now(), server)
                if reply.sent:
                    return OutcomeUnknown(reply.reason)
                self._counters.count("retry.connect_failed")
                continue
            if reply.started:
                self._breakers.succeeded(self._clock.now(), server)
                return _answer(reply)
            self._counters.count("retry.busy")

    def _choose(
        self, service: str, tried: list[str], retry_tried: bool = True
    ) -> str | errors.Refusal:
        """Picks a server, or returns a refusal if there is none.

        Prefers untried servers, then those that their breakers permit, then
        those that are near.

        Args:
          service: name of the service.
          tried: servers that this call was sent to before.
          retry_tried: whether a server in `tried` may be picked again.
        """
        now = self._clock.now()
        servers = self._directory.servers(service)
        untried = [s for s in servers if s not in tried]
        usable = [s for s in untried if self._breakers.is_permitted(now, s)]
        near = [s for s in usable if self._directory.is_near(s)]
        choices = near or usable or untried or (servers if retry_tried else [])
        if choices:
            return self._rng.choice(choices)
        return errors.Refusal(
            errors.ErrorKind.NO_REPLICA,
            f"No server of the service {service} is reachable.",
        )

    async def _send(
        self, request: site.ServiceRequest, server: str
    ) -> http.Reply | http.Failure:
        call = request.call
        now = self._clock.now()
        self._breakers.started(now, server)
        headers = {"X-Request-Id": call.request_id, "X-Caller": call.caller}
        if request.content_type:
            headers["Content-Type"] = request.content_type
        if call.key:
            headers["X-Key"] = call.key
        return await self._backends.call_service(
            self._directory.url(server) + call.path,
            request.method.encode(),
            request.body or None,
            headers,
            max(0.001, call.deadline - now),
        )

    def _record_attempt(
        self, server: str, reply: http.Reply | http.Failure
    ) -> retry.Reason | None:
        """Records an attempt's outcome; returns the reason to retry or None."""
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


def _deadline_refusal() -> errors.Refusal:
    return errors.Refusal(
        errors.ErrorKind.DEADLINE_EXCEEDED,
        "The deadline passed before the call was sent.",
        ran=errors.Ran.NO,
    )
