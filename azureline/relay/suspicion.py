"""Requests that end the servers that run them, as all nodes know them.

`routing/suspects.py` decides.  This module feeds it with what this node and
others saw of servers that ended, and lets suspects wait for their turn.  Nodes
tell each other at once, and ask each other now and then, so that one that was
restarted, frozen or cut off learns what it missed.
"""

from collections.abc import Callable
import random
from typing import Any
from typing import NamedTuple

from twisted.internet import task

from azureline.core import clock as clocks
from azureline.core import errors
from azureline.metrics import counters as metrics
from azureline.relay import endings
from azureline.relay import identity
from azureline.relay import messages
from azureline.relay import patience
from azureline.relay import peers as peers_lib
from azureline.relay import place as place_types
from azureline.relay import requests
from azureline.routing import suspects as suspects_lib
from azureline.util import events

# Most servers end for other reasons than a request, and their requests are in
# a hurry, so the first crash holds nothing back.
_SETTINGS = suspects_lib.Settings(
    settle_s=0.5,
    lane_s=2.0,
    convicting_crashes=3,
    ambiguous_crashes=4,
    free_crashes=1,
    hold_unheard=False,
)
# A process that has just started knows nothing: it asks some nodes at once.
_FIRST_ASKS = 3
_FIRST_ASK_S = 0.1
# Less than the time after which the users hold a node to what others know.
_ASK_EVERY_S = 2.0
# Other failure domains are asked this much less often than the own one.
_FAR_ASKS = 4
_EXPIRE_EVERY_S = 10.0
# A copy of a suspect waits so long before it looks for the end of the first.
_COPY_POLL_S = 0.1
# Servers that ended longer ago may be back.
_FRESH_MS = 1000
_CONTENTS_PER_MESSAGE = 60
_MOST_MESSAGES = 20


class Content(NamedTuple):
    """A request as the decision sees it; see `suspects.Call`."""

    content: bytes
    model: str


class Turn(NamedTuple):
    """A request may be sent.

    Attributes:
      content: its digest if it is a suspect, or b"".
      server_id: the one server to which it may be sent, or "" for any.
    """

    content: bytes = b""
    server_id: str = ""


class Suspicion:
    """What this node knows, and its part in telling it."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        rng: random.Random,
        peers: peers_lib.Peers,
        server_ended: Callable[[tuple[str, int]], None],
        counters: metrics.Counters,
        log: events.Log,
    ):
        """Creates a suspicion of nothing.

        Args:
          reactor: the Twisted reactor.
          clock: source of time.
          rng: source of the choice of a node to ask.
          peers: the other nodes.
          server_ended: is told of each start of a server that has ended.
          counters: counts suspects.
          log: takes a line for each decision.
        """
        self._reactor = reactor
        self._clock = clock
        self._rng = rng
        self._peers = peers
        self._server_ended = server_ended
        self._counters = counters
        self._log = log
        self._suspects = suspects_lib.Suspects(_SETTINGS)
        self._outlines: set[bytes] = set()
        # Suspects that this node has at their one server now.
        self._trials: set[bytes] = set()
        self._asks = 0
        self._expired_at = clock.now()
        self._timer: Any = None
        peers.on(messages.ServerEnded, self._heard_ended)
        peers.on(messages.SuspectServed, self._heard_served)
        peers.on(messages.SuspectsAsk, self._asked)

    def start(self) -> None:
        """Begins to ask other nodes."""
        self._timer = self._reactor.callLater(_FIRST_ASK_S, self._tick)

    def close(self) -> None:
        """Asks no more."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    async def turn(
        self,
        request: requests.CallerRequest,
        service: str,
        usable: Callable[[], place_types.Usable],
        deadline: float,
    ) -> Turn | errors.Refusal:
        """Waits until a request may be sent, if it is a suspect.

        Args:
          request: the request.
          service: its service.
          usable: returns the servers that could serve it.
          deadline: monotonic time in seconds at which its caller leaves.

        Returns:
          Where it may be sent, or why it is not sent at all.
        """
        while True:
            content = self._content(request)
            verdict = self._check(content, service, usable)
            match verdict:
                case suspects_lib.Clear():
                    return Turn(content)
                case suspects_lib.Quarantine(server=server_id):
                    self._note("suspect_apart", request, content, server_id)
                    return Turn(content, server_id)
                case errors.Refusal():
                    self._note("suspect_refused", request, content, "")
                    return verdict
                case suspects_lib.Wait(until=until) if until < deadline:
                    self._counters.count("suspects.held")
                    self._note("suspect_held", request, content, "")
                    await self._sleep(until - self._clock.now())
                case suspects_lib.Wait(until=until):
                    return self._too_late(until, deadline)

    def allows(
        self,
        turn: Turn,
        request: requests.CallerRequest,
        service: str,
        usable: Callable[[], place_types.Usable],
        server_id: str,
    ) -> bool:
        """Returns whether a request may still be sent to a server.

        What was learnt while it waited for its place counts.

        Args:
          turn: what was decided before it had a place.
          request: the request.
          service: its service.
          usable: returns the servers that could serve it.
          server_id: the server of its place.
        """
        content = turn.content or self._content(request)
        match self._check(content, service, usable):
            case suspects_lib.Clear():
                return True
            case suspects_lib.Quarantine(server=only):
                return only == server_id
        return False

    def begin(self, turn: Turn) -> None:
        """Learns that a request is sent now."""
        if turn.server_id:
            self._trials.add(turn.content)

    def end(self, turn: Turn) -> None:
        """Learns that a request is no longer at its server."""
        if turn.server_id:
            self._trials.discard(turn.content)

    def served(self, request: requests.CallerRequest, service: str) -> None:
        """Learns that a server ran a request to its end."""
        content = self._content(request)
        crashes = self._suspects.crashes(content)
        if not crashes:
            return
        served = messages.SuspectServed(content, service, 0)
        self._take_served(served)
        if crashes > _SETTINGS.free_crashes:
            self._counters.count("suspects.cleared")
            self._log.info(
                "suspect_served",
                request=request.request_id,
                content=content.hex(),
                crashes=crashes,
            )
            self._peers.broadcast(served)

    def ended(self, ending: endings.Ending) -> None:
        """Learns that a server ended under requests of this node."""
        server = ending.server
        age_ms = int((self._clock.now() - ending.at) * 1000)
        for first in range(0, len(ending.contents), _CONTENTS_PER_MESSAGE):
            part = ending.contents[first : first + _CONTENTS_PER_MESSAGE]
            self._peers.broadcast(
                messages.ServerEnded(
                    server.server_id,
                    server.born_ms,
                    server.service,
                    age_ms,
                    part,
                )
            )

    def _content(self, request: requests.CallerRequest) -> bytes:
        """Returns the content of a suspect, or b"" for other requests."""
        if not self._outlines:
            return b""
        if identity.outline(request) not in self._outlines:
            return b""
        return identity.content(request)

    def _check(
        self,
        content: bytes,
        service: str,
        usable: Callable[[], place_types.Usable],
    ) -> Any:
        if not content:
            return suspects_lib.Clear()
        now, found = self._clock.now(), usable()
        # A suspect does not run where it could end what is left of a service.
        spared = found.sound * 2 <= found.known
        ids = () if spared else found.ids
        verdict = self._suspects.check(now, Content(content, service), ids, ids)
        match verdict:
            case errors.Refusal(detail=detail, retry_after=retry_after):
                return errors.Refusal(
                    errors.ErrorKind.ENDED_SERVERS,
                    f"{detail}.",
                    retry_after=retry_after,
                )
            case suspects_lib.Wait() if not found.ids:
                # It waits for a server, as requests without suspicion do.
                return suspects_lib.Clear()
            case suspects_lib.Quarantine() if content in self._trials:
                return suspects_lib.Wait(now + _COPY_POLL_S)
        return verdict

    def _too_late(self, until: float, deadline: float) -> errors.Refusal:
        now = self._clock.now()
        return errors.Refusal(
            errors.ErrorKind.DID_NOT_RUN,
            "Servers ended under this request; its turn comes too late.",
            retry_after=patience.return_after(now, deadline, until - now),
            ran=errors.Ran.NO,
        )

    def _tick(self) -> None:
        self._ask()
        first = self._asks < _FIRST_ASKS
        self._timer = self._reactor.callLater(
            _FIRST_ASK_S if first else _ASK_EVERY_S, self._tick
        )
        now = self._clock.now()
        if now - self._expired_at >= _EXPIRE_EVERY_S:
            self._expired_at = now
            self._suspects.expire(now)
            self._outlines = {
                identity.outline_of(seen.content)
                for seen in self._suspects.everything()
            }

    def _ask(self) -> None:
        others = [
            record
            for record in self._peers.nodes.values()
            if not self._peers.is_self(record)
        ]
        near = [r for r in others if r.domain == self._peers.domain]
        asked = others if self._asks % _FAR_ASKS == 0 else near or others
        if asked:
            self._asks += 1
            self._peers.send(self._rng.choice(asked), messages.SuspectsAsk())

    def _asked(self, ask: messages.SuspectsAsk, host: str, port: int) -> None:
        """Tells a node of the suspects that are kept apart."""
        now = self._clock.now()
        by_crash: dict[tuple[suspects_lib.Crash, str], list[bytes]] = {}
        for seen in self._suspects.everything():
            if self._suspects.crashes(seen.content) <= _SETTINGS.free_crashes:
                continue
            for crash in seen.crashes:
                key = (crash, seen.model)
                by_crash.setdefault(key, []).append(seen.content)
        for (crash, service), contents in list(by_crash.items())[
            :_MOST_MESSAGES
        ]:
            told = messages.ServerEnded(
                crash.server,
                int(crash.incarnation),
                service,
                max(0, int((now - crash.at) * 1000)),
                tuple(contents[:_CONTENTS_PER_MESSAGE]),
            )
            self._peers.reply(host, port, told)

    def _heard_ended(
        self, told: messages.ServerEnded, host: str, port: int
    ) -> None:
        if told.age_ms < _FRESH_MS:
            self._server_ended((told.server_id, told.born_ms))
        crash = suspects_lib.Crash(
            told.server_id,
            str(told.born_ms),
            self._clock.now() - told.age_ms / 1000,
        )
        known = {c: self._suspects.crashes(c) for c in told.contents}
        self._suspects.heard(
            suspects_lib.SuspectSeen(content, told.service, (crash,), 0.0)
            for content in told.contents
        )
        self._outlines.update(map(identity.outline_of, told.contents))
        worse = [
            c
            for c, before in known.items()
            if self._suspects.crashes(c) > before
        ]
        if not worse:
            return
        self._counters.count("suspects.heard", len(worse))
        self._log.info(
            "suspects",
            server=told.server_id,
            born_ms=told.born_ms,
            service=told.service,
            age_ms=told.age_ms,
            told_by=host,
            requests=len(worse),
            crashes=max(map(self._suspects.crashes, worse)),
        )

    def _heard_served(
        self, served: messages.SuspectServed, host: str, port: int
    ) -> None:
        if self._suspects.crashes(served.content):
            self._take_served(served)

    def _take_served(self, served: messages.SuspectServed) -> None:
        at = self._clock.now() - served.age_ms / 1000
        self._suspects.heard(
            [suspects_lib.SuspectSeen(served.content, served.service, (), at)]
        )

    def _note(
        self,
        event: str,
        request: requests.CallerRequest,
        content: bytes,
        server_id: str,
    ) -> None:
        self._log.info(
            event,
            request=request.request_id,
            content=content.hex(),
            crashes=self._suspects.crashes(content),
            server=server_id,
        )

    async def _sleep(self, seconds: float) -> None:
        await task.deferLater(self._reactor, max(0.0, seconds), lambda: None)
