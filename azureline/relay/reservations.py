"""Sends reservation requests to lease holders of engines and answers them.

A request that names an adapter, or has a long prompt, is sent to an engine
only after the engine's lease holder has granted a reservation: only the lease
holder knows which adapters can be loaded and how many prompts are queued at
the engine.
"""

from collections.abc import Callable
import itertools
from typing import Any
from typing import NamedTuple

from twisted.internet import defer

from azureline.core import clock as clocks
from azureline.metrics import counters as metrics
from azureline.relay import adapter_references
from azureline.relay import messages
from azureline.relay import peers as peers_lib
from azureline.relay import prefill
from azureline.relay import residency as residencies
from azureline.relay import servers

# Datagrams may be lost, so an unanswered reservation request is sent again at
# this interval; the request is idempotent.
_RETRANSMIT_S = 0.08
# Time to wait for a reply.  A request without an adapter can be sent without a
# reservation, so it waits less.
_ADAPTER_TIMEOUT_S = 0.6
_PROMPT_TIMEOUT_S = 0.15
# After a reply time-out, reservation requests for the engine do not wait for
# its lease holder during this time.
_UNRESPONSIVE_S = 1.0
# An engine without a lease holder loads no adapter until another node has
# claimed it and waited until the orders of the previous holder have expired.
_TAKEOVER_S = 4.0


class ReservationResult(NamedTuple):
    """Result of a reservation request.

    Attributes:
      granted: whether the request may be sent to the engine.
      wait_s: seconds to wait before the request is sent; without a grant,
        seconds until a grant is possible, or 0 if unknown.
      backlog_s: seconds of prompt reading queued at the engine.
      reason: why the reservation is denied, or "".
      reading_s: seconds to read the uncached part of the prompt at the nominal
        rate.
      reservation_id: number of the reservation request, needed to release the
        adapter when the request has ended; 0 if no lease holder replied.
    """

    granted: bool
    wait_s: float = 0.0
    backlog_s: float = 0.0
    reason: str = ""
    reading_s: float = 0.0
    reservation_id: int = 0


class _PendingRequest(NamedTuple):
    answer: defer.Deferred[ReservationResult]
    request: messages.ReservationRequest
    sent_at: float


class ReservationClient:
    """Sends this node's reservation requests and tracks them."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        peers: peers_lib.Peers,
        catalogue: servers.Catalogue,
        residency: residencies.Residency,
        counters: metrics.Counters,
    ):
        """Creates a client without pending reservation requests."""
        self._reactor = reactor
        self._clock = clock
        self._peers = peers
        self._catalogue = catalogue
        self._residency = residency
        self._counters = counters
        self._reservation_ids = itertools.count(1)
        self._pending: dict[int, _PendingRequest] = {}
        # Adapter reservations of requests that have not ended.
        self._granted_ids: set[int] = set()
        self._unresponsive_until: dict[str, float] = {}
        peers.on(messages.ReservationReply, self._reply_received)

    @property
    def unresponsive_holder_count(self) -> int:
        """Number of engines whose lease holders did not reply in time."""
        return len(self._unresponsive_until)

    @property
    def granted_count(self) -> int:
        """Number of adapter reservations of requests that have not ended."""
        return len(self._granted_ids)

    def reserve(
        self,
        server: servers.BackendServer,
        model: str,
        adapter: str,
        prompt: prefill.Prompt,
        max_backlog_s: float,
    ) -> defer.Deferred[ReservationResult]:
        """Requests a reservation at an engine from its lease holder.

        Args:
          server: the engine.
          model: the request's model.
          adapter: the request's adapter, or "".
          prompt: the request's prompt.
          max_backlog_s: longest acceptable backlog of prompts at the engine, in
            seconds of reading.

        Returns:
          A deferred that fires with the result.  Without a reply in time the
          result is a grant if the engine needs no adapter or already holds it,
          otherwise a denial.
        """
        request = messages.ReservationRequest(
            next(self._reservation_ids),
            server.server_id,
            model,
            adapter,
            prompt.tokens,
            tuple((part.name, part.tokens) for part in prompt.shared),
            int(max_backlog_s * 1000),
            round(prompt.read_time_ratio * 100),
        )
        # Cancelling removes the pending request; a grant that arrives later is
        # released.
        answer: defer.Deferred[ReservationResult] = defer.Deferred(
            lambda _: self._pending.pop(request.reservation_id, None)
        )
        pending = _PendingRequest(answer, request, self._clock.now())
        self._pending[request.reservation_id] = pending
        unresponsive = (
            self._unresponsive_until.get(server.server_id, 0.0)
            > pending.sent_at
        )
        self._send(request.reservation_id)
        if unresponsive or self._peers.holder_of(server.server_id) is None:
            self._finish(request.reservation_id, self._default_answer(request))
        return pending.answer

    def release(self, server_id: str, reservation_id: int) -> None:
        """Releases a reservation at its lease holder."""
        self._granted_ids.discard(reservation_id)
        holder = self._peers.holder_of(server_id)
        if holder is not None:
            self._peers.send(
                holder, messages.ReservationRelease(reservation_id, server_id)
            )

    def _send(self, reservation_id: int) -> None:
        pending = self._pending.get(reservation_id)
        if pending is None:
            return
        request = pending.request
        timeout_s = _ADAPTER_TIMEOUT_S if request.adapter else _PROMPT_TIMEOUT_S
        now = self._clock.now()
        if now - pending.sent_at > timeout_s:
            self._unresponsive_until = {
                s: t for s, t in self._unresponsive_until.items() if t > now
            }
            self._unresponsive_until[request.server_id] = now + _UNRESPONSIVE_S
            self._finish(reservation_id, self._default_answer(request))
            return
        # The timer is set before sending, because this node may itself be the
        # lease holder and reply synchronously.
        self._reactor.callLater(_RETRANSMIT_S, self._send, reservation_id)
        holder = self._peers.holder_of(request.server_id)
        if holder is not None:
            self._peers.send(holder, request)

    def _default_answer(
        self, request: messages.ReservationRequest
    ) -> ReservationResult:
        """Returns the result to use without a reply of the lease holder."""
        self._counters.count("asks.unanswered")
        server = self._catalogue.get(request.server_id)
        if not request.adapter or (
            server is not None
            and self._residency.has_adapter(
                server, request.model, request.adapter
            )
        ):
            return ReservationResult(True)
        # An engine that never had a lease holder is claimed without the wait
        # for a previous holder's orders.
        was_held = request.server_id in self._peers.last_turns
        wait_s = _TAKEOVER_S if was_held else 0.0
        return ReservationResult(False, wait_s, reason="holder does not answer")

    def _reply_received(
        self, message: messages.ReservationReply, host: str, port: int
    ) -> None:
        self._unresponsive_until.pop(message.server_id, None)
        in_use = message.reservation_id in self._granted_ids
        if (
            message.granted
            and message.reservation_id not in self._pending
            and not in_use
        ):
            # The request was cancelled or timed out, so the grant is unused.
            self.release(message.server_id, message.reservation_id)
        self._finish(
            message.reservation_id,
            ReservationResult(
                message.granted,
                message.wait_ms / 1000,
                message.backlog_ms / 1000,
                message.reason,
                message.reading_ms / 1000,
                message.reservation_id,
            ),
        )

    def _finish(self, reservation_id: int, answer: ReservationResult) -> None:
        pending = self._pending.pop(reservation_id, None)
        if pending is not None:
            if (
                answer.granted
                and answer.reservation_id
                and pending.request.adapter
            ):
                self._granted_ids.add(reservation_id)
            pending.answer.callback(answer)


class ReservationServer:
    """Answers reservation requests for engines that this node controls."""

    def __init__(
        self,
        peers: peers_lib.Peers,
        reserve: Callable[
            [messages.ReservationRequest, adapter_references.ReferenceKey],
            defer.Deferred[ReservationResult] | None,
        ],
        counters: metrics.Counters,
    ):
        """Registers the handler of reservation requests.

        Args:
          peers: the other nodes.
          reserve: passes a reservation request to the engine's controller;
            returns None if this node does not control the engine.
          counters: counts reservation requests by result.
        """
        self._peers = peers
        self._reserve = reserve
        self._counters = counters
        self._in_progress: set[adapter_references.ReferenceKey] = set()
        peers.on(messages.ReservationRequest, self._request_received)

    def _request_received(
        self, request: messages.ReservationRequest, host: str, port: int
    ) -> None:
        key = adapter_references.ReferenceKey(
            host, port, request.reservation_id
        )
        if key in self._in_progress:
            return  # Retransmission of a request that is still pending.
        pending_answer = self._reserve(request, key)
        if pending_answer is None:
            return
        self._in_progress.add(key)
        pending_answer.addCallback(self._send_reply, key, request.server_id)

    def _send_reply(
        self,
        answer: ReservationResult,
        key: adapter_references.ReferenceKey,
        server_id: str,
    ) -> None:
        self._in_progress.discard(key)
        self._counters.count(
            "asks.granted" if answer.granted else "asks.denied"
        )
        reply = messages.ReservationReply(
            key.reservation_id,
            server_id,
            answer.granted,
            int(answer.wait_s * 1000 + 0.999),
            int(answer.backlog_s * 1000),
            answer.reason,
            round(answer.reading_s * 1000),
        )
        self._peers.reply(key.host, key.port, reply)
