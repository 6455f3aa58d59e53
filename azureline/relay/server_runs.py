"""Reports how runs of requests on backend servers begin and end.

A run may outlast the attempt that began it: a server goes on with a request
whose connection was closed, and may crash later.
"""

import enum
import functools

from azureline.relay import attempt as attempts
from azureline.relay import crash_detection
from azureline.relay import crash_suspects
from azureline.relay import request_identity
from azureline.relay import requests
from azureline.relay import servers

_GATEWAY_TIMEOUT = 504


class RunOutcome(enum.Enum):
    """What the end of an attempt says about the run on the server."""

    NOT_RUN = "not_run"
    COMPLETED = "completed"
    LOST = "lost"  # The connection broke; the server may have crashed.
    UNKNOWN = "unknown"  # The run may go on.


def run_outcome(result: attempts.Result) -> RunOutcome:
    """Returns what an attempt's result says about the run."""
    match result:
        case attempts.Result(end=attempts.End.NOT_RUN | attempts.End.NOT_SENT):
            return RunOutcome.NOT_RUN
        case attempts.Result(end=attempts.End.DELIVERED):
            return RunOutcome.COMPLETED
        case attempts.Result(end=attempts.End.FAILED):
            # A server that answers at the time limit may still be at work.
            timed_out = result.status == _GATEWAY_TIMEOUT
            return RunOutcome.UNKNOWN if timed_out else RunOutcome.COMPLETED
        case attempts.Result(lost=True):
            return RunOutcome.LOST
    return RunOutcome.UNKNOWN


def may_have_run(result: attempts.Result) -> bool:
    """Returns whether the server may have run the request, or still does."""
    return run_outcome(result) is not RunOutcome.NOT_RUN


class ServerRun:
    """One run of a request on a server, as far as this node knows."""

    def __init__(
        self,
        detector: crash_detection.CrashDetector,
        suspects: crash_suspects.CrashSuspects,
        request: requests.CallerRequest,
        server: servers.BackendServer,
        permit: crash_suspects.SendPermit,
        attempt: attempts.Attempt,
    ):
        """Creates a run that has not begun.

        Args:
          detector: detects crashes of servers.
          suspects: the requests that crashes accuse.
          request: the request.
          server: the server that it is sent to.
          permit: the permission to send it.
          attempt: the attempt, which receives the answer.
        """
        self._detector = detector
        self._suspects = suspects
        self._request = request
        self._server = server
        self._permit = permit
        self._attempt = attempt

    def begin(self) -> None:
        """Records that the request is sent."""
        self._detector.request_started(
            self._server,
            self._attempt,
            self._signatures,
            self._attempt.server_ended,
        )
        self._suspects.send_started(self._permit)

    def end(self, result: attempts.Result) -> bytes:
        """Records the end of the attempt.

        Args:
          result: the attempt's result.

        Returns:
          The digest of a request without a complete answer or of a suspect,
          for logs; else b"".
        """
        outcome = run_outcome(result)
        start = self._detector.request_ended(self._server, self._attempt)
        content = self._permit.content
        match outcome:
            case RunOutcome.LOST:
                content, *parts = self._signatures()
                self._detector.connection_broke(start, content, *parts)
            case RunOutcome.UNKNOWN:
                content, *parts = self._signatures()
                self._detector.request_abandoned(start, content, *parts)
            case RunOutcome.COMPLETED:
                self._suspects.request_completed(
                    self._request, self._server.service
                )
        # The watch outlasts the request and must not hold its body.
        watch = functools.partial(self._detector.watch, self._server)
        may_run = outcome in (RunOutcome.LOST, RunOutcome.UNKNOWN)
        self._suspects.send_ended(self._permit, watch if may_run else None)
        return content

    def _signatures(self) -> tuple[bytes, ...]:
        """Returns what a crash of the server accuses.

        Parts of the prompt are accused if its answer had not begun.
        """
        content = request_identity.content_digest(self._request)
        if self._attempt.begun:
            return (content,)
        return (content, *request_identity.part_signatures(self._request))
