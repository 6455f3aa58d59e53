"""Handles one request: scheduling, attempts, retries and the final answer."""

from typing import Any

from twisted.internet import defer
from twisted.internet import task

from azureline.callers import relay as caller_side
from azureline.core import errors
from azureline.platform import requests as wire
from azureline.quotas import charge as charges
from azureline.relay import assignment as assignments
from azureline.relay import attempt as attempts
from azureline.relay import attempt_log
from azureline.relay import continuation
from azureline.relay import crash_suspects
from azureline.relay import exchange_context
from azureline.relay import exchange_refusals
from azureline.relay import requests
from azureline.relay import routes
from azureline.relay import send_counts
from azureline.relay import server_runs
from azureline.relay import stream_events

# Attempts whose connection failed before the request is refused.
_MAX_CONNECT_FAILURES = 4
# Delay before a server that is still loading the adapter is tried again.
_ADAPTER_RETRY_S = 0.03
_MAX_NOT_RUN = 4
# Delay before a request is scheduled again because its server became
# ineligible while the request waited.
_RESCHEDULE_DELAY_S = 0.05


class Exchange:
    """Handles one request from its receipt to its final answer."""

    def __init__(
        self,
        context: exchange_context.ExchangeContext,
        received: caller_side.ReceivedRequest,
        request: requests.CallerRequest,
    ):
        """Creates an exchange.

        Args:
          context: the services that all exchanges share.
          received: the connection to the caller.
          request: the caller's request.
        """
        self._context = context
        self._received = received
        self._request = request
        self._started_at = context.clock.now()
        self._attempt: attempts.Attempt | None = None
        self._reader = stream_events.EventReader(request.last_event)
        self._continuation = continuation.Continuation(
            request, context.streams, context.counters, context.log
        )
        self._charge = charges.Charge(
            context.quotas, context.clock, context.log, request
        )
        self._route: routes.Route | None = None
        self._deadline = self._started_at
        self._sends = 0
        self._not_run = 0
        self._connect_failures = 0
        self._may_have_run = False
        self._tried_servers: list[str] = []
        self._running: defer.Deferred[Any] | None = None
        self._timer: Any = None
        self._finished = False

    def start(self) -> defer.Deferred[Any]:
        """Starts the request; the deferred fires when it has ended."""
        self._received.on_disconnect(self._on_caller_gone)
        self._running = defer.ensureDeferred(self._run())
        return self._running.addErrback(self._on_error).addBoth(
            self._on_finished
        )

    async def _run(self) -> None:
        context, request = self._context, self._request
        await context.wait_for_configuration(self._started_at)
        if context.route_table.config is None:
            self._refuse(exchange_refusals.no_configuration())
            return
        route = context.route_table.match(request.host, request.path)
        if route is None:
            self._refuse(exchange_refusals.no_route())
            return
        self._route = route
        wait_limit_s = request.patience_s
        if wait_limit_s is None:
            wait_limit_s = route.timeout_s
        self._deadline = self._started_at + min(route.timeout_s, wait_limit_s)
        self._timer = context.reactor.callLater(
            max(0.0, self._deadline - self._started_at), self.expire
        )
        admitted = context.route_table.admit(route, request.key)
        if isinstance(admitted, errors.Refusal):
            self._refuse(admitted)
            return
        service = context.route_table.service_of(route)
        if service is None:
            self._refuse(exchange_refusals.no_service())
            return
        over_quota = await self._charge.acquire(
            admitted.workspace, self._deadline
        )
        if over_quota is not None:
            self._refuse(over_quota)
            return
        while await self._may_go_on(admitted.route, service):
            if await self._attempt_once(admitted.route, service):
                return

    async def _may_go_on(
        self, route: routes.Route, service: routes.Service
    ) -> bool:
        """Restricts a begun stream to its software version, or refuses it."""
        required = await self._continuation.require_version(
            self._request,
            route,
            service,
            self._reader.last_event or self._request.last_event,
        )
        if isinstance(required, errors.Refusal):
            self._refuse(self._adjust_refusal(required))
            return False
        self._request = required
        return True

    async def _attempt_once(
        self, route: routes.Route, service: routes.Service
    ) -> bool:
        """Schedules and sends once; returns whether the request has ended."""
        permit = await self._context.crash_suspects.acquire_permit(
            self._request,
            service.name,
            lambda: self._context.scheduler.usable_servers(
                self._request, service
            ),
            self._first_event_deadline(route),
        )
        if isinstance(permit, errors.Refusal):
            self._refuse(self._adjust_refusal(permit))
            return True
        assignment = await self._context.scheduler.assign(
            self._request,
            route,
            service,
            self._first_event_deadline(route),
            self._deadline,
            tuple(self._tried_servers),
            permit.server_id,
        )
        if isinstance(assignment, errors.Refusal):
            self._refuse(self._adjust_refusal(assignment))
            return True
        # The key may have been revoked while the request waited.
        admitted = await self._admit_again(route)
        if isinstance(admitted, errors.Refusal):
            self._context.scheduler.release(assignment)
            self._refuse(self._adjust_refusal(admitted))
            return True
        if not self._server_still_allowed(permit, service, assignment):
            # The server became ineligible while the request was scheduled.
            self._context.scheduler.release(assignment)
            await self._sleep(_RESCHEDULE_DELAY_S)
            return False
        if not self._take_from_budget(service):
            self._context.scheduler.release(assignment)
            now = self._context.clock.now()
            refusal = exchange_refusals.budget_used_up(now, self._deadline)
            self._refuse(self._adjust_refusal(refusal))
            return True
        result = await self._send(assignment, route, permit, admitted.workspace)
        match result.end:
            case (
                attempts.End.DELIVERED
                | attempts.End.EXPIRED
                | attempts.End.CANCELLED
            ):
                return True
            case attempts.End.NOT_RUN:
                return await self._handle_not_run(assignment, result)
            case attempts.End.NOT_SENT:
                self._connect_failures += 1
                self._sends -= 1
                self._tried_servers.append(assignment.server.server_id)
                self._context.scheduler.record_unreachable(assignment)
                if self._connect_failures < _MAX_CONNECT_FAILURES:
                    return False
                now = self._context.clock.now()
                refusal = exchange_refusals.unreachable(now, self._deadline)
                self._refuse(self._adjust_refusal(refusal))
                return True
            case _:
                return await self._handle_broken(
                    route, assignment, permit, result
                )

    async def _admit_again(
        self, route: routes.Route
    ) -> routes.Admitted | errors.Refusal:
        """Checks the key and the quota of a request that has waited."""
        admitted = self._context.route_table.admit(route, self._request.key)
        if isinstance(admitted, errors.Refusal) or self._may_have_run:
            return admitted
        over_quota = await self._charge.renew(self._deadline)
        return admitted if over_quota is None else over_quota

    def _server_still_allowed(
        self,
        permit: crash_suspects.SendPermit,
        service: routes.Service,
        assignment: assignments.Assignment,
    ) -> bool:
        if not self._context.scheduler.may_send(assignment):
            return False
        return self._context.crash_suspects.permits(
            permit,
            self._request,
            service.name,
            lambda: self._context.scheduler.usable_servers(
                self._request, service
            ),
            assignment.server.server_id,
        )

    def _first_event_deadline(self, route: routes.Route) -> float:
        """Returns when the caller disconnects unless the answer has begun."""
        if route.kind is not routes.Kind.STREAMING or self._reader.passed:
            return self._deadline
        return min(self._deadline, self._started_at + route.first_event_s)

    def _take_from_budget(self, service: routes.Service) -> bool:
        """Takes a send from the retry budget; the first send is free."""
        now = self._context.clock.now()
        if self._sends + self._not_run == 0:
            self._context.retry_budget.record_first_send(service.name, now)
            return True
        if self._context.retry_budget.spend(service.name, now):
            self._context.counters.count("repeats.sent")
            return True
        self._context.counters.count("repeats.over_budget")
        return False

    async def _send(
        self,
        assignment: assignments.Assignment,
        route: routes.Route,
        permit: crash_suspects.SendPermit,
        workspace: str | None,
    ) -> attempts.Result:
        context, now = self._context, self._context.clock.now()
        self._sends += 1
        attempt = attempts.Attempt(
            self._received,
            self._request.request_id,
            route,
            self._reader,
            context.answer_budget.reserve(assignment.server.server_id),
            context.clock.now,
            lambda first_s: context.scheduler.record_first_part(
                assignment, first_s
            ),
            lambda head: context.notices.heard(assignment.server, head, now),
            lambda: context.crash_suspects.answer_begun(
                self._request, assignment.server.service
            ),
            lambda: self._continuation.events_begun(assignment.server),
        )
        self._attempt = attempt
        before = self._reader.passed
        is_resumed = before > 0
        last_event = self._reader.last_event if is_resumed else None
        request = wire.build_request(
            self._request,
            self._deadline - now,
            assignment.server.server_id,
            assignment.priority,
            last_event,
            workspace,
        )
        attempt.begin(
            context.client,
            assignment.server.address,
            request,
            fresh=not route.repeatable,
        )
        context.scheduler.record_sent(assignment)
        context.sends.record(assignment.server, send_counts.Kind.REQUEST)
        run = server_runs.ServerRun(
            context.crash_detector,
            context.crash_suspects,
            self._request,
            assignment.server,
            permit,
            attempt,
        )
        run.begin()
        result = attempts.Result(attempts.End.CANCELLED)
        try:
            result = await attempt.done
        finally:
            content = run.end(result)
        self._attempt = None
        if server_runs.may_have_run(result):
            # Before anything is awaited: the deadline may pass meanwhile.
            self._may_have_run = True
        took_s = context.clock.now() - now
        if attempt.first_s is not None:
            waited_s = now - self._started_at + attempt.first_s
            context.exposition.first_byte_time.labels(route.name).observe(
                waited_s
            )
        events = self._reader.passed - before
        context.scheduler.release(assignment, result, took_s, events)
        attempt_log.write(
            context.log,
            attempt_log.EndedAttempt(
                self._request,
                route,
                assignment,
                attempt,
                result,
                content,
                events,
                self._sends,
                self._deadline - now,
                took_s,
                now - self._started_at,
            ),
        )
        return result

    async def _handle_not_run(
        self, assignment: assignments.Assignment, result: attempts.Result
    ) -> bool:
        self._context.counters.count("repeats.not_run")
        self._sends -= 1
        self._not_run += 1
        now = self._context.clock.now()
        if result.wrong_server:
            self._context.scheduler.record_model_missing(
                assignment, self._request
            )
        elif result.status == 503 and assignment.adapter_reservation:
            # The adapter that was just ordered is not loaded yet.
            await self._sleep(_ADAPTER_RETRY_S)
        else:
            self._tried_servers.append(assignment.server.server_id)
        if self._not_run <= _MAX_NOT_RUN and now < self._deadline:
            return False
        self._refuse(
            self._adjust_refusal(
                exchange_refusals.turned_away(
                    now, self._deadline, result.retry_after_s
                )
            )
        )
        return True

    async def _handle_broken(
        self,
        route: routes.Route,
        assignment: assignments.Assignment,
        permit: crash_suspects.SendPermit,
        result: attempts.Result,
    ) -> bool:
        if self._sends > 1 or permit.content or self._request.shared_parts:
            # If the request crashes servers, another attempt could crash one
            # more.  So wait until it is known whether this server crashed.
            await self._context.crash_detector.probes_done(assignment.server)
        now = self._context.clock.now()
        retry = (
            route.repeatable
            and self._sends < route.attempts
            and now + 0.05 < self._deadline
            and (self._reader.passed == 0 or route.resumable)
        )
        if retry:
            self._context.counters.count("repeats.broken")
            return False
        if result.kept is not None and not self._received.response_started:
            attempts.pass_on(self._received, result.kept)
            self._context.counters.count("answers.failed")
        elif self._received.response_started:
            self._context.counters.count("cut.broken")
            self._received.abort()
        else:
            self._refuse(
                errors.Refusal(
                    errors.ErrorKind.BACKEND_FAILED,
                    f"The backend server failed: {result.reason}.",
                )
            )
        return True

    async def _sleep(self, seconds: float) -> None:
        await task.deferLater(self._context.reactor, seconds, lambda: None)

    def _adjust_refusal(self, refusal: errors.Refusal) -> errors.Refusal:
        """Returns the refusal, unless the request may have run already."""
        if not self._may_have_run:
            return refusal
        return exchange_refusals.may_have_run()

    def expire(self) -> None:
        """Ends the request when its deadline passes."""
        if self._finished:
            return
        attempt = self._attempt
        sent = attempt is not None or self._may_have_run
        if self._received.response_started:
            self._context.counters.count("cut.deadline")
            self._received.abort()
        else:
            self._refuse(exchange_refusals.deadline_passed(sent))
        self._stop(attempts.End.EXPIRED)

    def _on_caller_gone(self) -> None:
        """Cancels the request because its caller has disconnected."""
        if self._finished:
            return
        self._context.counters.count("callers.gone")
        attempt_log.write_caller_left(
            self._context.log,
            self._request,
            self._route,
            self._context.clock.now() - self._started_at,
            sent=self._attempt is not None,
            begun=self._received.response_started,
            events=self._reader.passed,
        )
        self._stop(attempts.End.CANCELLED)

    def _stop(self, end: attempts.End) -> None:
        self._finished = True
        if self._attempt is not None:
            self._attempt.cancel(end)
        if self._running is not None:
            self._running.cancel()

    def _refuse(self, refusal: errors.Refusal) -> None:
        self._finished = True
        if self._received.response_started:
            self._received.abort()
            return
        self._context.counters.count(refusal.counter)
        now = self._context.clock.now()
        attempt_log.write_refused(
            self._context.log,
            self._request,
            self._route,
            refusal,
            version=self._context.route_table.version,
            waited_s=round(now - self._started_at, 3),
            left_s=round(self._deadline - now, 3),
            sends=self._sends,
        )
        self._received.refuse(refusal)

    def _on_error(self, failure: Any) -> None:
        if failure.check(defer.CancelledError):
            return
        self._context.log.error(
            "exchange_failed",
            request=self._request.request_id,
            reason=failure.getTraceback(),
        )
        self._refuse(errors.Refusal(errors.ErrorKind.INTERNAL, "Failed."))

    def _on_finished(self, result: Any) -> Any:
        self._finished = True
        self._charge.close(ran=self._may_have_run or self._attempt is not None)
        # Cycles of references keep an exchange until a garbage collection.
        self._request = self._request._replace(body=b"")
        self._attempt = None
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self._route is not None:
            took_s = self._context.clock.now() - self._started_at
            self._context.exposition.answer_time.labels(
                self._route.name
            ).observe(took_s)
        return result
