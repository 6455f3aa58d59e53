"""The way of one request: a place, an attempt, perhaps another, an answer."""

from typing import Any

from twisted.internet import defer
from twisted.internet import task

from azureline.callers import relay as caller_side
from azureline.core import errors
from azureline.platform import requests as wire
from azureline.relay import attempt as attempts
from azureline.relay import exchange_tools
from azureline.relay import identity
from azureline.relay import patience
from azureline.relay import pieces
from azureline.relay import place as place_types
from azureline.relay import requests
from azureline.relay import routes
from azureline.relay import suspicion

# Servers whose connections failed are not tried without end.
_MAX_UNSENT = 4
# A server that refused because something is being loaded is asked again.
_SAME_SERVER_S = 0.03
_MAX_NOT_RUN = 4
# A process has its first configuration 0.05 s after it begins to listen if the
# store answers; callers that are told to come back lose more.
_FIRST_CONFIG_S = 0.25
_CONFIG_POLL_S = 0.02
# A request whose server may not be sent to any more looks for another.
_NEXT_TURN_S = 0.05


class Exchange:
    """Serves one request."""

    def __init__(
        self,
        tools: exchange_tools.Tools,
        received: caller_side.Received,
        request: requests.CallerRequest,
    ):
        """Creates an exchange.

        Args:
          tools: what exchanges share.
          received: the caller's side.
          request: the caller's request.
        """
        self._tools = tools
        self._received = received
        self._request = request
        self._began = tools.clock.now()
        self._attempt: attempts.Attempt | None = None
        self._reader = pieces.EventReader(request.last_event)
        self._route: routes.Route | None = None
        self._deadline = self._began
        self._sends = 0
        self._not_run = 0
        self._unsent = 0
        self._broken = False
        self._tried: list[str] = []
        self._running: defer.Deferred[Any] | None = None
        self._timer: Any = None
        self._over = False

    def start(self) -> defer.Deferred[Any]:
        """Begins; the deferred fires when the request has its end."""
        self._received.on_gone(self._gone)
        self._running = defer.ensureDeferred(self._run())
        return self._running.addErrback(self._crashed).addBoth(self._ended)

    async def _run(self) -> None:
        tools, request = self._tools, self._request
        await self._first_configuration()
        if tools.table.config is None:
            self._refuse(
                errors.Refusal(errors.ErrorKind.NOT_READY, "No configuration.")
            )
            return
        route = tools.table.match(request.host, request.path)
        if route is None:
            self._refuse(
                errors.Refusal(errors.ErrorKind.NOT_FOUND, "No route.")
            )
            return
        self._route = route
        patience_s = request.patience_s
        if patience_s is None:
            patience_s = route.timeout_s
        self._deadline = self._began + min(route.timeout_s, patience_s)
        self._timer = tools.reactor.callLater(
            max(0.0, self._deadline - self._began), self.expire
        )
        admitted = tools.table.admit(route, request.key)
        if isinstance(admitted, errors.Refusal):
            self._refuse(admitted)
            return
        service = tools.table.service_of(route)
        if service is None:
            self._refuse(
                errors.Refusal(errors.ErrorKind.NO_REPLICA, "No service.")
            )
            return
        while not await self._once(admitted.route, service):
            pass

    async def _first_configuration(self) -> None:
        """Waits a little if the process has just started."""
        give_up_at = self._began + _FIRST_CONFIG_S
        table, clock = self._tools.table, self._tools.clock
        while table.config is None and clock.now() < give_up_at:
            await self._pause(_CONFIG_POLL_S)

    async def _once(self, route: routes.Route, service: routes.Service) -> bool:
        """Finds a place and sends; returns whether the request has its end."""
        turn = await self._tools.suspicion.turn(
            self._request,
            service.name,
            lambda: self._tools.places.usable(self._request, service),
            self._answer_by(route),
        )
        if isinstance(turn, errors.Refusal):
            self._refuse(self._truthful(turn))
            return True
        place = await self._tools.places.find(
            self._request,
            route,
            service,
            self._answer_by(route),
            self._deadline,
            tuple(self._tried),
            turn.server_id,
        )
        if isinstance(place, errors.Refusal):
            self._refuse(self._truthful(place))
            return True
        if not self._still_allowed(turn, service, place):
            # The server changed while the request waited for its place.
            self._tools.places.done(place)
            await self._pause(_NEXT_TURN_S)
            return False
        # A key may have been taken away while the request waited.
        admitted = self._tools.table.admit(route, self._request.key)
        if isinstance(admitted, errors.Refusal):
            self._tools.places.done(place)
            self._refuse(self._truthful(admitted))
            return True
        if not self._may_send(service):
            self._tools.places.done(place)
            self._refuse(self._no_budget())
            return True
        result = await self._send(place, route, turn, admitted.workspace)
        match result.end:
            case attempts.End.DELIVERED | attempts.End.CANCELLED:
                return True
            case attempts.End.NOT_RUN:
                return await self._after_not_run(place, result)
            case attempts.End.NOT_SENT:
                self._unsent += 1
                self._sends -= 1
                self._tried.append(place.server.server_id)
                self._tools.places.unreachable(place)
                if self._unsent < _MAX_UNSENT:
                    return False
                self._refuse(self._truthful(self._unreachable()))
                return True
            case _:
                return await self._after_broken(route, place, turn, result)

    def _still_allowed(
        self,
        turn: suspicion.Turn,
        service: routes.Service,
        place: place_types.Place,
    ) -> bool:
        if not self._tools.places.may_send(place):
            return False
        return self._tools.suspicion.allows(
            turn,
            self._request,
            service.name,
            lambda: self._tools.places.usable(self._request, service),
            place.server.server_id,
        )

    def _answer_by(self, route: routes.Route) -> float:
        """Returns when the caller leaves unless the answer has begun."""
        if route.kind is not routes.Kind.STREAMING or self._reader.passed:
            return self._deadline
        return min(self._deadline, self._began + route.first_event_s)

    def _may_send(self, service: routes.Service) -> bool:
        """Pays for a send; every send but the first is a repeat."""
        now = self._tools.clock.now()
        if self._sends + self._not_run == 0:
            self._tools.repeats.sent_first(service.name, now)
            return True
        if self._tools.repeats.spend(service.name, now):
            self._tools.counters.count("repeats.sent")
            return True
        self._tools.counters.count("repeats.over_budget")
        return False

    async def _send(
        self,
        place: place_types.Place,
        route: routes.Route,
        turn: suspicion.Turn,
        workspace: str | None,
    ) -> attempts.Result:
        tools, now = self._tools, self._tools.clock.now()
        self._sends += 1
        attempt = attempts.Attempt(
            self._received,
            self._request.request_id,
            route,
            self._reader,
            tools.clock.now,
            lambda first_s: tools.places.first_part(place, first_s),
            lambda head: tools.notices.heard(place.server, head),
        )
        self._attempt = attempt
        before = self._reader.passed
        resumed = before > 0
        last_event = self._reader.last_event if resumed else None
        request = wire.encode(
            self._request,
            self._deadline - now,
            place.server.server_id,
            place.priority,
            last_event,
            workspace,
        )
        attempt.begin(
            tools.client,
            place.server.address,
            request,
            fresh=not route.repeatable,
        )
        tools.places.sent(place)
        tools.endings.began(place.server, attempt)
        tools.suspicion.begin(turn)
        try:
            result = await attempt.done
        finally:
            tools.endings.ended(place.server, attempt)
            tools.suspicion.end(turn)
        self._attempt = None
        content = turn.content
        if result.lost:
            content = identity.content(self._request)
            tools.endings.broke(place.server, content)
        elif result.end in (attempts.End.DELIVERED, attempts.End.FAILED):
            tools.suspicion.served(self._request, place.server.service)
        took = tools.clock.now() - now
        if attempt.first_s is not None:
            waited = now - self._began + attempt.first_s
            tools.exposition.first_byte.labels(route.name).observe(waited)
        parts = self._reader.passed - before
        tools.places.done(place, result, took, parts)
        tools.log.info(
            "attempt",
            request=self._request.request_id,
            route=route.name,
            server=place.server.server_id,
            born_ms=place.server.born_ms,
            beat=place.server.beat,
            model=self._request.model,
            adapter=self._request.adapter,
            prompt=self._request.prompt_tokens,
            send=self._sends,
            left_s=round(self._deadline - now, 3),
            first_s=_rounded(attempt.first_s),
            pause_s=_rounded(attempt.pause_s),
            took_s=round(took, 3),
            waited_s=round(now - self._began, 3),
            outcome=result.end.value,
            status=result.status,
            reason=result.reason,
            content=content.hex(),
        )
        return result

    async def _after_not_run(
        self, place: place_types.Place, result: attempts.Result
    ) -> bool:
        self._tools.counters.count("repeats.not_run")
        self._sends -= 1
        self._not_run += 1
        now = self._tools.clock.now()
        if result.wrong_server:
            self._tools.places.denied(place, self._request)
        elif result.status == 503 and place.adapter_ask:
            # The adapter that was just ordered is not there yet.
            await self._pause(_SAME_SERVER_S)
        else:
            self._tried.append(place.server.server_id)
        if self._not_run <= _MAX_NOT_RUN and now < self._deadline:
            return False
        self._refuse(
            self._truthful(
                errors.Refusal(
                    errors.ErrorKind.OVERLOADED,
                    "Backend servers refused the request.",
                    retry_after=patience.return_after(
                        now, self._deadline, result.retry_after_s or 0.5
                    ),
                    ran=errors.Ran.NO,
                )
            )
        )
        return True

    async def _after_broken(
        self,
        route: routes.Route,
        place: place_types.Place,
        turn: suspicion.Turn,
        result: attempts.Result,
    ) -> bool:
        if self._broken or turn.content:
            # No other server shall end before it is known whether this has.
            await self._tools.endings.settled(place.server)
        self._broken = True
        now = self._tools.clock.now()
        again = (
            route.repeatable
            and self._sends < route.attempts
            and now + 0.05 < self._deadline
            and (self._reader.passed == 0 or route.resumable)
        )
        if again:
            self._tools.counters.count("repeats.broken")
            return False
        if result.kept is not None and not self._received.begun:
            attempts.pass_on(self._received, result.kept)
            self._tools.counters.count("answers.failed")
        elif self._received.begun:
            self._tools.counters.count("cut.broken")
            self._received.abort()
        else:
            self._refuse(
                errors.Refusal(
                    errors.ErrorKind.BACKEND_FAILED,
                    f"The backend server failed: {result.reason}.",
                )
            )
        return True

    async def _pause(self, seconds: float) -> None:
        await task.deferLater(self._tools.reactor, seconds, lambda: None)

    def _truthful(self, refusal: errors.Refusal) -> errors.Refusal:
        """Returns a refusal that promises nothing untrue."""
        if not self._broken:
            return refusal
        return errors.Refusal(
            errors.ErrorKind.BACKEND_FAILED, "It may have run."
        )

    def _no_budget(self) -> errors.Refusal:
        now = self._tools.clock.now()
        return self._truthful(
            errors.Refusal(
                errors.ErrorKind.OVERLOADED,
                "The budget for repeats is used up.",
                retry_after=patience.return_after(now, self._deadline, 1.0),
                ran=errors.Ran.NO,
            )
        )

    def _unreachable(self) -> errors.Refusal:
        now = self._tools.clock.now()
        return errors.Refusal(
            errors.ErrorKind.DID_NOT_RUN,
            "No backend server could be reached.",
            retry_after=patience.return_after(now, self._deadline, 0.5),
            ran=errors.Ran.NO,
        )

    def expire(self) -> None:
        """Gives the final answer when the time is over."""
        if self._over:
            return
        attempt = self._attempt
        begun = self._received.begun
        sent = attempt is not None or self._broken
        if begun:
            self._tools.counters.count("cut.deadline")
            self._received.abort()
        elif sent:
            self._refuse(
                errors.Refusal(
                    errors.ErrorKind.DEADLINE_EXCEEDED, "Out of time."
                )
            )
        else:
            self._refuse(
                errors.Refusal(
                    errors.ErrorKind.DID_NOT_RUN,
                    "Out of time before it could be sent.",
                    retry_after=0.1,
                    ran=errors.Ran.NO,
                )
            )
        self._stop()

    def _gone(self) -> None:
        """Cancels everything, as nobody waits for the answer."""
        if self._over:
            return
        self._tools.counters.count("callers.gone")
        self._tools.log.info(
            "caller_left",
            request=self._request.request_id,
            route=self._route.name if self._route else "",
            model=self._request.model,
            adapter=self._request.adapter,
            sent=self._attempt is not None,
            begun=self._received.begun,
            events=self._reader.passed,
            waited_s=round(self._tools.clock.now() - self._began, 3),
        )
        self._stop()

    def _stop(self) -> None:
        self._over = True
        if self._attempt is not None:
            self._attempt.cancel()
        if self._running is not None:
            self._running.cancel()

    def _refuse(self, refusal: errors.Refusal) -> None:
        self._over = True
        if self._received.begun:
            self._received.abort()
            return
        self._tools.counters.count(refusal.counter)
        answer = refusal.answer
        self._tools.log.info(
            "refused",
            request=self._request.request_id,
            route=self._route.name if self._route else "",
            version=self._tools.table.version,
            model=self._request.model,
            adapter=self._request.adapter,
            kind=refusal.kind.value,
            status=answer.status,
            retry_after_s=answer.retry_after_s,
            detail=refusal.detail,
            waited_s=round(self._tools.clock.now() - self._began, 3),
            left_s=round(self._deadline - self._tools.clock.now(), 3),
            sends=self._sends,
        )
        self._received.refuse(refusal)

    def _crashed(self, failure: Any) -> None:
        if failure.check(defer.CancelledError):
            return
        self._tools.log.error(
            "exchange_failed",
            request=self._request.request_id,
            reason=failure.getTraceback(),
        )
        self._refuse(errors.Refusal(errors.ErrorKind.INTERNAL, "Failed."))

    def _ended(self, result: Any) -> Any:
        self._over = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self._route is not None:
            took = self._tools.clock.now() - self._began
            self._tools.exposition.whole.labels(self._route.name).observe(took)
        return result


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)
