"""Engine selection of one node: its knowledge, metrics and log lines."""

from collections.abc import Sequence
import math

from azureline.core import clock as clocks
from azureline.engine_choice import beliefs as beliefs_lib
from azureline.engine_choice import cost
from azureline.engine_choice import descriptions
from azureline.engine_choice import engine_records
from azureline.engine_choice import options
from azureline.engine_choice import profiles
from azureline.engine_choice import selection
from azureline.metrics import counters as metrics
from azureline.relay import assignment as assignments
from azureline.relay import ranking
from azureline.relay import requests
from azureline.relay import reservations
from azureline.relay import routes
from azureline.relay import run_times
from azureline.relay import servers
from azureline.util import events

# Prefill time relative to the nominal rate while nothing was measured: steps
# and attention add to it (1.17 to 1.3 in runs of large models).
_DEFAULT_RATIO = 1.2
# Prefill of one queued prompt until replies tell, and the weight of a reply.
_USUAL_PROMPT_S = 0.09
_NEWEST_WEIGHT = 0.05
# A belief with less weight is no forecast, so that a reply does not check it.
_MIN_CHECKED_WEIGHT = 0.5
# A belief is right if at least this part of its tokens was cached.
_RIGHT_PART = 0.5
# A cache that saves less is not noticed in the time to the first part.
_MIN_SAVED_S = 0.04
# Reasons without a log line.
_USUAL_REASONS = frozenset(
    {
        options.Reason.HOME,
        options.Reason.NO_BELIEF,
        options.Reason.AFFINITY,
    }
)
# Interval of log lines about choices for the same reason.
_LOG_S = 1.0


class EngineChoice:
    """Ranks engines by what one node knows of them."""

    def __init__(
        self,
        clock: clocks.Clock,
        times: run_times.RunTimes,
        tokens_per_s: float,
        counters: metrics.Counters,
        log: events.Log,
    ):
        """Creates an instance that knows nothing of any engine.

        Args:
          clock: source of time.
          times: running times of requests per route.
          tokens_per_s: nominal rate at which an engine prefills prompts.
          counters: counts choices by reason, and hits and misses of beliefs.
          log: receives choices of another engine than the home.
        """
        self._clock = clock
        self._times = times
        self._tokens_per_s = tokens_per_s
        self._counters = counters
        self._log = log
        self._beliefs = beliefs_lib.Beliefs()
        self._records = engine_records.EngineRecords()
        self._usual_prompt_s = _USUAL_PROMPT_S
        self._logged_at: dict[options.Reason, float] = {}

    def profile(
        self,
        request: requests.CallerRequest,
        route: routes.Route,
        spec: routes.EngineSpec,
    ) -> options.RequestProfile:
        """Returns the profile of a request."""
        return profiles.build(
            request,
            route,
            spec,
            self._tokens_per_s,
            self._times.latency_targets(route).max_gap_s,
            self._times.average_s(route.name) or route.target_s,
            self._usual_prompt_s,
        )

    def rank(
        self,
        profile: options.RequestProfile,
        candidates: Sequence[tuple[ranking.Candidate, float]],
    ) -> list[options.Option]:
        """Returns the engines in the order to try; changes no state.

        Args:
          profile: the request.
          candidates: engines that can run it, each with its prefill time
            relative to the nominal rate, or 0 if that is unknown.
        """
        now = self._clock.now()
        return selection.rank(
            profile,
            [self._candidate(profile, c, r, now) for c, r in candidates],
            now,
        )

    def record_choice(
        self, profile: options.RequestProfile, option: options.Option
    ) -> None:
        """Counts a choice, and logs one of another engine than the home."""
        reason = option.reason
        self._counters.count(f"engine_choices.{reason.value}")
        now = self._clock.now()
        if (
            reason in _USUAL_REASONS
            or now - self._logged_at.get(reason, -math.inf) < _LOG_S
        ):
            return
        self._logged_at[reason] = now
        self._log.info(
            "engine_choice",
            tokens=profile.prompt_tokens,
            shared_tokens=profile.shared_tokens,
            **descriptions.describe(option),
        )

    def record_report(
        self, server: servers.BackendServer, reading_ratio: float
    ) -> None:
        """Records a load report's part of time that an engine prefills."""
        record = self._records.keep(server.incarnation)
        record.report(reading_ratio, self._clock.now())

    def record_sent(self, option: options.Option) -> None:
        """Counts a prompt that is sent without a reservation."""
        record = self._records.keep(option.server.incarnation)
        record.add(option.prefill_s, self._clock.now())

    def record_asked(self, option: options.Option) -> None:
        """Counts a prompt for which a reservation is requested now."""
        self._records.keep(option.server.incarnation).ask(option.prefill_s)

    def record_cancelled(self, option: options.Option) -> None:
        """Records that the caller left before a reply to a reservation."""
        self._records.keep(option.server.incarnation).answered(option.prefill_s)

    def record_reply(
        self,
        profile: options.RequestProfile,
        option: options.Option,
        reply: reservations.ReservationResult,
    ) -> None:
        """Learns from the reply to a reservation request.

        Args:
          profile: the request.
          option: the engine, as given to `record_asked`.
          reply: the reply, or the result used without one.
        """
        now = self._clock.now()
        record = self._records.keep(option.server.incarnation)
        record.answered(option.prefill_s)
        if not reply.granted:
            # Only a denial because of the queue tells its length.
            if reply.backlog_s > 0.0:
                record.reply(reply.backlog_s, now)
            return
        if not reply.reservation_id:
            record.unanswered()
            record.add(option.prefill_s, now)
            return
        prefill_s = reply.reading_s * option.candidate.speed_ratio
        record.reply(reply.backlog_s + prefill_s, now)
        self._check(profile, option, reply, record, now)
        mark_s = record.prefilled_s(now)
        for prefix in profile.prefixes:
            self._beliefs.learn(prefix, option.server.incarnation, mark_s, now)
        if profile.is_long:
            self._usual_prompt_s += (
                prefill_s - self._usual_prompt_s
            ) * _NEWEST_WEIGHT

    def record_first_part(
        self, assignment: assignments.Assignment, took_s: float
    ) -> None:
        """Compares an answer's begin with what its engine was to have cached.

        An engine can evict a prefix without its lease holder's knowledge.

        Args:
          assignment: the assignment.
          took_s: seconds to the first part, without the queue.
        """
        if assignment.cached_s < _MIN_SAVED_S:
            return
        # Nearer to the time with the cache than to the time without it.
        limit_s = assignment.reading_s + assignment.cached_s / 2.0
        is_right = took_s <= limit_s * _DEFAULT_RATIO
        record = self._records.keep(assignment.server.incarnation)
        record.check_belief(is_right, self._clock.now())
        if not is_right:
            self._counters.count("engine_beliefs.evicted")

    def _check(
        self,
        profile: options.RequestProfile,
        option: options.Option,
        reply: reservations.ReservationResult,
        record: engine_records.EngineRecord,
        now: float,
    ) -> None:
        """Compares the belief used for a choice with the engine's cache."""
        belief = option.candidate.belief
        weight = cost.believed_weight(option.candidate, profile, now)
        if belief is None or weight < _MIN_CHECKED_WEIGHT:
            return
        cached = profile.prompt_tokens - reply.reading_s * self._tokens_per_s
        is_right = cached >= belief.tokens * _RIGHT_PART
        if not is_right:
            record.check_belief(False, now)
        self._counters.count(
            "engine_beliefs.hit" if is_right else "engine_beliefs.miss"
        )

    def _candidate(
        self,
        profile: options.RequestProfile,
        candidate: ranking.Candidate,
        speed_ratio: float,
        now: float,
    ) -> options.Candidate:
        incarnation = candidate.server.incarnation
        record = self._records.get(incarnation)
        belief = self._beliefs.find(
            profile.prefixes, incarnation, record.prefilled_s(now)
        )
        if belief is not None:
            belief = belief._replace(reliability=record.reliability(now))
        return options.Candidate(
            candidate.server,
            candidate.load,
            candidate.penalty,
            candidate.other_domain,
            candidate.ready,
            candidate.busy,
            candidate.reading_ratio,
            record.reported_at,
            speed_ratio or _DEFAULT_RATIO,
            record.queue,
            belief,
        )
