"""Permission to send requests that are suspected of crashing servers.

`routing/suspects.py` makes the decisions.  This module applies them: it delays
suspects until they may be sent, one at a time over all nodes, and refuses them
when trials have failed.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import random
from typing import Any
from typing import NamedTuple

from twisted.internet import task

from azureline.core import clock as clocks
from azureline.core import errors
from azureline.metrics import counters as metrics
from azureline.platform import store as store_lib
from azureline.relay import assignment as assignments
from azureline.relay import crash_detection
from azureline.relay import peers as peers_lib
from azureline.relay import request_identity
from azureline.relay import requests
from azureline.relay import suspect_reports
from azureline.relay import suspect_store
from azureline.relay import trials
from azureline.relay import wait_policy
from azureline.routing import signatures
from azureline.routing import suspect_settings
from azureline.routing import suspects as suspects_lib
from azureline.routing import verdicts
from azureline.util import events

# Most server crashes have other causes than a request, and the affected
# requests are urgent, so a single crash delays nothing (tolerated_crashes).
# Refusals grow so that few trials follow the first: servers may have been
# repaired meanwhile, but each trial may crash one more.
_SETTINGS = suspect_settings.Settings(
    settle_s=0.5,
    quarantine_s=2.0,
    refusal_crashes=3,
    refusal_trials=2,
    trial_gap_s=0.25,
    refuse_growth=144.0,
    refuse_cap_s=30 * 86400.0,
    tolerated_crashes=1,
    hold_new_contents=False,
)
# Time after the start of this process in which a single crash makes a request a
# suspect: all nodes and the store may have lost what was known.
CAREFUL_S = 10.0
# Interval at which a delayed suspect is checked again: it may be cleared, or
# another node's trial may have ended.
_POLL_S = 0.1


class SuspectCall(NamedTuple):
    """A request as passed to `SuspectTable.check`; see `signatures.Call`."""

    content: bytes
    model: str


class SendPermit(NamedTuple):
    """Permission to send a request.

    Attributes:
      content: digest of the request if it is a suspect, or b"".
      server_id: the only server to which it may be sent, or "" for any.
      suspects: the signatures for which it may be sent only there.
    """

    content: bytes = b""
    server_id: str = ""
    suspects: tuple[bytes, ...] = ()


class CrashSuspects:
    """Crash suspects known to this node, and permits to send them."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        rng: random.Random,
        peers: peers_lib.Peers,
        store: store_lib.StoreClient,
        record_server_crash: Callable[[tuple[str, int]], None],
        crash_reported: Callable[[tuple[str, int]], None],
        start_of: Callable[[str], int | None],
        counters: metrics.Counters,
        log: events.Log,
    ):
        """Creates an instance without suspects.

        Args:
          reactor: the Twisted reactor.
          clock: source of time.
          rng: chooses the node to query.
          peers: the other nodes.
          store: client of the platform's store.
          record_server_crash: called with the id and start of a server that has
            just crashed.
          crash_reported: called with the id and start of a crashed server for
            each report.
          start_of: returns the start of a server in Unix ms, or None if it
            has no entry.
          counters: counts suspects.
          log: receives a line for each decision.
        """
        self._reactor = reactor
        self._clock = clock
        self._counters = counters
        self._log = log
        self._suspects = suspects_lib.SuspectTable(_SETTINGS)
        self._reports = suspect_reports.SuspectReports(
            reactor,
            clock,
            rng,
            peers,
            self._suspects,
            record_server_crash,
            crash_reported,
            lambda: self._record.suspects_changed(),
            counters,
            log,
        )
        self._record = suspect_store.SuspectStore(
            reactor,
            clock,
            rng,
            store,
            peers,
            self._suspects,
            start_of,
            self._reports.merge,
            counters,
            log,
        )
        self._careful_timer: Any = None
        self._trials = trials.Trials(
            reactor,
            clock,
            self._suspects,
            self._record.renew_trial,
            self._record.release_trial,
            log,
        )

    @property
    def record(self) -> suspect_store.SuspectStore:
        """This node's side of the record in the store."""
        return self._record

    def start(self) -> None:
        """Starts to query other nodes."""
        self._suspects.is_careful = True
        self._careful_timer = self._reactor.callLater(
            CAREFUL_S, setattr, self._suspects, "is_careful", False
        )
        self._reports.start()

    def close(self) -> None:
        """Stops the exchange with other nodes and the store."""
        if self._careful_timer is not None and self._careful_timer.active():
            self._careful_timer.cancel()
        self._trials.close()
        self._reports.close()
        self._record.close()

    async def acquire_permit(
        self,
        request: requests.CallerRequest,
        service: str,
        usable: Callable[[], assignments.UsableServers],
        deadline: float,
    ) -> SendPermit | errors.Refusal:
        """Waits until a request may be sent, if it is a suspect.

        Args:
          request: the request.
          service: its service.
          usable: returns the servers that could serve it.
          deadline: monotonic time in seconds at which its caller leaves.

        Returns:
          The permission to send it, or a refusal.
        """
        claim_at, held = 0.0, False
        while True:
            candidates = self._candidates(request)
            now = self._clock.now()
            until = now + _POLL_S
            match self._check(candidates, service, usable):
                case verdicts.Allowed():
                    return SendPermit(candidates[0])
                case verdicts.Quarantine(server=server_id, suspects=found):
                    claim_at = claim_at or now + self._record.claim_delay_s(
                        found
                    )
                    if now < claim_at:
                        until = min(until, claim_at)
                    elif await self._record.claim_trial(found, server_id):
                        self._log_decision(
                            "suspect_apart", request, found, server_id
                        )
                        return SendPermit(candidates[0], server_id, found)
                    else:
                        claim_at = 0.0
                case errors.Refusal() as refusal:
                    self._log_refusal(request, candidates)
                    return refusal
                case verdicts.Wait(until=settled_at):
                    until = max(until, min(settled_at, deadline))
            if until >= deadline:
                return self._late_refusal(until, deadline)
            held = self._record_held(request, candidates, held)
            await self._sleep(min(until, now + _POLL_S) - self._clock.now())

    def permits(
        self,
        permit: SendPermit,
        request: requests.CallerRequest,
        service: str,
        usable: Callable[[], assignments.UsableServers],
        server_id: str,
    ) -> bool:
        """Returns whether a request may still be sent to a server.

        Reports received while it waited for its assignment are considered.

        Args:
          permit: the permit from before its assignment.
          request: the request.
          service: its service.
          usable: returns the servers that could serve it.
          server_id: the server that it is assigned to.
        """
        match self._check(self._candidates(request), service, usable):
            case verdicts.Allowed():
                return True
            case verdicts.Quarantine(server=only, suspects=found):
                claimed = set(found) <= set(permit.suspects)
                return claimed and only == server_id == permit.server_id
        return False

    def send_started(self, permit: SendPermit) -> None:
        """Records that a request is being sent."""
        self._trials.begin(permit.suspects)

    def send_ended(
        self,
        permit: SendPermit,
        watch: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        """Records the end of the attempt to run a request.

        Args:
          permit: the permission to send it.
          watch: waits until it is known whether its server survived, if the
            server may still run it.
        """
        self._trials.end(permit.suspects, watch)

    def request_completed(
        self, request: requests.CallerRequest, service: str
    ) -> None:
        """Records that a server completed a request, and reports it."""
        content = self._suspect_content(request)
        crashes = self._suspects.crash_count(content)
        if not crashes:
            return
        if self._suspects.suspects_of([content]):
            self._log.info(
                "suspect_served",
                request=request.request_id,
                content=content.hex(),
                crashes=crashes,
            )
        self._reports.content_cleared(content, service)

    def answer_begun(
        self, request: requests.CallerRequest, service: str
    ) -> None:
        """Records that an answer has begun, which clears the prompt's parts."""
        parts = self._suspect_parts(request)
        if parts:
            self._reports.parts_cleared(parts, service)

    def server_crashed(self, crash: crash_detection.ServerCrash) -> None:
        """Reports a crash of a server that was running this node's requests."""
        self._reports.server_crashed(crash)

    def _suspect_content(self, request: requests.CallerRequest) -> bytes:
        """Returns the digest of a possible suspect, or b"" for other requests.

        The outline is compared first, so that most requests need no digest of
        their body.
        """
        if not self._reports.outlines:
            return b""
        if (
            request_identity.outline_digest(request)
            not in self._reports.outlines
        ):
            return b""
        return request_identity.content_digest(request)

    def _suspect_parts(
        self, request: requests.CallerRequest
    ) -> tuple[bytes, ...]:
        """Returns the signatures of the prompt's parts that crashes accuse."""
        known = self._reports.parts
        if not known:
            return ()
        parts = request_identity.part_signatures(request)
        return tuple(part for part in parts if part in known)

    def _candidates(self, request: requests.CallerRequest) -> tuple[bytes, ...]:
        """Returns the request's content, or b"", and its accused parts."""
        content = self._suspect_content(request)
        return (content, *self._suspect_parts(request))

    def _check(
        self,
        candidates: tuple[bytes, ...],
        service: str,
        usable: Callable[[], assignments.UsableServers],
    ) -> Any:
        suspects = self._suspects.suspects_of(candidates)
        if not suspects:
            return verdicts.Allowed()
        now, found = self._clock.now(), usable()
        # A suspected content does not run if at most half of the service's
        # servers are left.
        too_few_servers = (
            candidates[0] in suspects and found.running * 2 <= found.total
        )
        ids = () if too_few_servers else found.ids
        content, *parts = candidates
        verdict = self._suspects.check(
            now, SuspectCall(content, service), ids, ids, parts
        )
        match verdict:
            case errors.Refusal(detail=detail, retry_after=retry_after):
                return self._explain(candidates, detail, retry_after)
            case verdicts.Wait() if not found.ids:
                # It waits for a server like any request that is no suspect.
                return verdicts.Allowed()
            case verdicts.Quarantine() if self._trials.runs_any(suspects):
                return verdicts.Wait(now + _POLL_S)
        return verdict

    def _explain(
        self, candidates: tuple[bytes, ...], detail: str, retry_after: float
    ) -> errors.Refusal:
        """Returns the refusal of a suspect for its caller."""
        refused = self._suspects.find_refused(self._clock.now(), candidates)
        kind = errors.ErrorKind.ENDED_SERVERS
        if refused is not None and signatures.is_part(refused):
            kind = errors.ErrorKind.CRASHING_PART
        return errors.Refusal(kind, f"{detail}.", retry_after=retry_after)

    def _late_refusal(self, until: float, deadline: float) -> errors.Refusal:
        now = self._clock.now()
        return errors.Refusal(
            errors.ErrorKind.DID_NOT_RUN,
            "Servers ended under this request; its turn comes too late.",
            retry_after=wait_policy.return_after(now, deadline, until - now),
            ran=errors.Ran.NO,
        )

    def _record_held(
        self,
        request: requests.CallerRequest,
        candidates: tuple[bytes, ...],
        held: bool,
    ) -> bool:
        """Counts a wait, and logs the first one of a request."""
        self._counters.count("suspects.held")
        suspects = self._suspects.suspects_of(candidates)
        if suspects and not held:
            self._log_decision("suspect_held", request, suspects, "")
        return True

    def _log_decision(
        self,
        event: str,
        request: requests.CallerRequest,
        suspects: tuple[bytes, ...],
        server_id: str,
    ) -> None:
        self._log.info(
            event,
            request=request.request_id,
            content=suspects[0].hex(),
            part=request_identity.part_name(request, suspects[0]),
            crashes=self._suspects.crash_count(suspects[0]),
            server=server_id,
        )

    def _log_refusal(
        self, request: requests.CallerRequest, candidates: tuple[bytes, ...]
    ) -> None:
        refused = self._suspects.find_refused(self._clock.now(), candidates)
        if refused is not None:
            self._log_decision("suspect_refused", request, (refused,), "")

    async def _sleep(self, seconds: float) -> None:
        await task.deferLater(self._reactor, max(0.0, seconds), lambda: None)
