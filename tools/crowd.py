"""Simulated callers that put load on a node or an engine."""

import collections
from collections.abc import Callable
import json
import random
import time
from typing import Any
from typing import NamedTuple
import urllib.parse

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import task

from tools import demo

START_S = 0.75  # Callers start at random times within this period.
# Longest pause between calls.  The random pause spreads calls over the
# engine's steps.
THINK_S = 0.1
RECONNECT_S = 1.0
SEED = 1


class Load(NamedTuple):
    """A load: concurrent callers and the number of tokens per answer."""

    streams: int
    max_tokens: int


class Tally:
    """Figures that the callers collect during the measured period."""

    def __init__(self):
        self.measuring = False
        self.first_s: list[float] = []
        self.gap_s: list[float] = []
        self.counts: collections.Counter[str] = collections.Counter()

    def count(self, name: str, n: int = 1) -> None:
        """Adds to a counter if the measurement is on."""
        if self.measuring:
            self.counts[name] += n


class Caller(protocol.Protocol):
    """Sends one call after another on a connection."""

    def __init__(
        self,
        name: str,
        load: Load,
        tally: Tally,
        rng: random.Random,
        on_lost: Callable[[], None],
    ):
        self._on_connection_lost = on_lost
        self._name = name
        self._load = load
        self._tally = tally
        self._rng = rng
        self._calls = 0
        self._timer: Any = None
        self._unparsed = b""
        self._refused = False

    def connectionMade(self) -> None:  # noqa: N802 - a name of twisted
        """Schedules the first call at a random time."""
        self.transport.setTcpNoDelay(True)
        self._schedule_call(self._rng.uniform(0, START_S))

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Cancels the scheduled call and reports the loss."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._on_connection_lost()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handles complete lines; each event or chunk size is one line."""
        *lines, self._unparsed = (self._unparsed + data).split(b"\n")
        now = time.perf_counter()
        for line in lines:
            self._handle_line(line, now)
        if self._refused and b"}" in self._unparsed:
            kind = json.loads(self._unparsed).get("kind", "other")
            self._tally.count("refused")
            self._tally.count(f"refused.{kind}")
            self.transport.loseConnection()

    def _handle_line(self, line: bytes, now: float) -> None:
        if line.startswith(b"data: {"):
            if not self._tokens:
                self._first_at = now
            self._last_at = now
            self._tokens += 1
            self._tally.count("tokens")
        elif line.startswith(b"data: [DONE]"):
            self._done = True
        elif line == b"0\r":
            self._finish_answer()
        elif line.startswith(b"HTTP/1.1 ") and b" 200 " not in line:
            self._refused = True

    def _schedule_call(self, delay: float) -> None:
        self._timer = reactor.callLater(delay, self._call)

    def _call(self) -> None:
        self._calls += 1
        self._tokens = 0
        self._done = False
        self._sent_while_measuring = self._tally.measuring
        self._sent_at = time.perf_counter()
        self.transport.write(self._request())

    def _finish_answer(self) -> None:
        whole = self._done and self._tokens == self._load.max_tokens
        self._tally.count("answers" if whole else "broken")
        if self._sent_while_measuring and self._tokens:
            self._tally.first_s.append(self._first_at - self._sent_at)
            gaps = max(1, self._tokens - 1)
            self._tally.gap_s.append((self._last_at - self._first_at) / gaps)
        self._schedule_call(self._rng.uniform(0, THINK_S))

    def _request(self) -> bytes:
        request_id = f"{self._name}-{self._calls}"
        prompt = f"{request_id}: which chuck for this end? " + "x" * 400
        body = json.dumps(
            {
                "request_id": request_id,
                "model": demo.MODEL,
                "messages": [{"role": "user", "content": prompt}],
                "max_tokens": self._load.max_tokens,
                "stream": True,
            }
        )
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n"
            f"Authorization: Bearer {demo.KEY}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return (head + body).encode()


class Crowd:
    """The callers of one load, which reconnect after a lost connection."""

    def __init__(self, url: str, load: Load, tally: Tally, name: str):
        self._rng = random.Random(SEED)
        self._load = load
        self._tally = tally
        self._name = name
        address = urllib.parse.urlsplit(url)
        self._endpoint = endpoints.TCP4ClientEndpoint(
            reactor, address.hostname, address.port
        )
        self._callers: list[Caller] = []
        self._stopped = False

    async def start(self) -> None:
        """Connects all callers."""
        for i in range(self._load.streams):
            await self._connect(i)

    def stop(self) -> None:
        """Closes all connections."""
        self._stopped = True
        for caller in self._callers:
            caller.transport.loseConnection()

    async def _connect(self, i: int) -> None:
        caller = Caller(
            f"{self._name}-{i}-{len(self._callers)}",
            self._load,
            self._tally,
            random.Random(self._rng.random()),
            lambda: self._connection_lost(i),
        )
        await endpoints.connectProtocol(self._endpoint, caller)
        self._callers.append(caller)

    def _connection_lost(self, i: int) -> None:
        """Reconnects after a pause, like a real caller after a refusal."""
        if not self._stopped:
            task.deferLater(reactor, RECONNECT_S, self._reconnect, i)

    def _reconnect(self, i: int) -> None:
        if not self._stopped:
            defer.ensureDeferred(self._connect(i)).addErrback(lambda _: None)
