"""Assigns requests to engines that grant them a reservation."""

from collections.abc import Callable
from typing import Any

from twisted.internet import defer
from twisted.internet import task

from azureline.core import clock as clocks
from azureline.core import errors
from azureline.engine_choice import chooser
from azureline.engine_choice import options
from azureline.relay import assignment as assignments
from azureline.relay import prefill
from azureline.relay import requests
from azureline.relay import reservations as reservations_lib
from azureline.relay import routes
from azureline.relay import wait_policy

# Prompts read back to back for longer than this make streams pause for more
# than 0.6 s, as an event holds the tokens of several steps.
_MAX_QUEUE_S = 0.2
# A prompt waits for a short queue for this part of its route's target latency.
_QUEUE_WAIT_RATIO = 0.4
# Bounds of the delay between two rounds of reservation requests.
_MIN_RETRY_S = 0.03
_MAX_RETRY_S = 0.15
# Retry-After of a refusal if no lease holder gives a time.
_DEFAULT_RETRY_AFTER_S = 0.5


class ReservedAssignment:
    """Assigns requests with long prompts or adapters to engines."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        reservations: assignments.ReservationClient,
        read_time_ratios: prefill.ReadTimeRatios,
        engine_choice: chooser.EngineChoice,
        count_in: Callable[[assignments.Assignment], assignments.Assignment],
        release: Callable[[assignments.Assignment], None],
    ):
        """Creates an instance.

        Args:
          reactor: the Twisted reactor.
          clock: source of time.
          reservations: client for reservation requests to lease holders.
          read_time_ratios: how long engines take to read prompts.
          engine_choice: learns from the replies to reservation requests.
          count_in: counts an assignment as in flight and returns it.
          release: releases an assignment that was not sent.
        """
        self._reactor = reactor
        self._clock = clock
        self._reservations = reservations
        self._read_time_ratios = read_time_ratios
        self._engine_choice = engine_choice
        self._count_in = count_in
        self._release = release

    async def assign(
        self,
        request: requests.CallerRequest,
        route: routes.Route,
        profile: options.RequestProfile,
        template: assignments.Assignment,
        tried: list[options.Option],
        deadline: float,
    ) -> assignments.Assignment | errors.Refusal:
        """Returns an assignment with a reservation, or the refusal.

        Args:
          request: the request.
          route: its route.
          profile: its profile for engine selection.
          template: the assignment, but for its server and reservation.
          tried: the engines to ask, the best first.
          deadline: the caller's deadline in monotonic seconds.
        """
        give_up_at = self._clock.now() + route.target_s * _QUEUE_WAIT_RATIO
        backlog_s = dict.fromkeys((o.server.server_id for o in tried), 0.0)
        while True:
            is_late = self._clock.now() >= give_up_at
            max_queue_s = route.timeout_s if is_late else _MAX_QUEUE_S
            if is_late:
                # A cached prefix makes up for some of a queue.
                tried.sort(
                    key=lambda o: backlog_s[o.server.server_id] + o.prefill_s
                )
            reason, retry_after_s = "", []
            for option in tried:
                assignment = self._count_in(
                    template._replace(server=option.server)
                )
                answer = await self._reserve(
                    request, profile, option, assignment, max_queue_s
                )
                if answer.granted:
                    return assignment._replace(
                        adapter_reservation=answer.reservation_id
                        if request.adapter
                        else 0,
                        reading_s=answer.reading_s,
                        queued_s=max(0.0, answer.backlog_s - answer.wait_s),
                        cached_s=_cached_s(profile, answer),
                    )
                reason = answer.reason
                retry_after_s.append(answer.wait_s or _DEFAULT_RETRY_AFTER_S)
                backlog_s[option.server.server_id] = answer.backlog_s
            if is_late or not any(backlog_s.values()):
                break
            # After this time the shortest queue is below the limit.
            wait_s = min(backlog_s.values()) - _MAX_QUEUE_S
            await self._sleep(min(max(wait_s, _MIN_RETRY_S), _MAX_RETRY_S))
        return errors.Refusal(
            errors.ErrorKind.NO_REPLICA,
            f"No engine can take the request: {reason}.",
            retry_after=wait_policy.return_after(
                self._clock.now(), deadline, min(retry_after_s)
            ),
            ran=errors.Ran.NO,
        )

    async def _reserve(
        self,
        request: requests.CallerRequest,
        profile: options.RequestProfile,
        option: options.Option,
        assignment: assignments.Assignment,
        max_queue_s: float,
    ) -> reservations_lib.ReservationResult:
        """Sends a reservation request; releases the assignment if refused."""
        granted = assignment
        try:
            answer = await self._ask(request, profile, option, max_queue_s)
            if answer.granted and request.adapter:
                granted = assignment._replace(
                    adapter_reservation=answer.reservation_id
                )
            if answer.granted and answer.wait_s > 0:
                await self._sleep(answer.wait_s)
        except defer.CancelledError:
            self._release(granted)
            raise
        if not answer.granted:
            self._release(assignment)
        return answer

    async def _ask(
        self,
        request: requests.CallerRequest,
        profile: options.RequestProfile,
        option: options.Option,
        max_queue_s: float,
    ) -> reservations_lib.ReservationResult:
        """Sends a reservation request and records what the reply tells."""
        prompt = prefill.Prompt(
            f"{request.model}/{request.adapter}",
            request.prompt_tokens,
            request.shared_parts,
            self._read_time_ratios.get(
                option.server.server_id, request.model, self._clock.now()
            ),
        )
        self._engine_choice.record_asked(option)
        try:
            answer = await self._reservations.reserve(
                option.server,
                request.model,
                request.adapter,
                prompt,
                max_queue_s,
            )
        except defer.CancelledError:
            self._engine_choice.record_cancelled(option)
            raise
        self._engine_choice.record_reply(profile, option, answer)
        return answer

    async def _sleep(self, seconds: float) -> None:
        await task.deferLater(self._reactor, seconds, lambda: None)


def _cached_s(
    profile: options.RequestProfile, answer: reservations_lib.ReservationResult
) -> float:
    """Returns the seconds of reading that a cache saves; 0 if unknown."""
    if not answer.reservation_id:
        return 0.0
    whole_s = profile.prompt_tokens / profile.tokens_per_s
    return max(0.0, whole_s - answer.reading_s)
