"""Callers that load a node or an engine from one process."""

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

START_S = 0.75  # Callers begin at random moments within this time.
THINK_S = 0.1  # Longest pause of a caller; spreads calls over engine steps.
RECONNECT_S = 1.0
SEED = 1


class Load(NamedTuple):
    """One load to be put on a path."""

    streams: int
    max_tokens: int


class Tally:
    """What the callers of one block have seen while it was measured."""

    def __init__(self):
        self.measuring = False
        self.first_s: list[float] = []
        self.gap_s: list[float] = []
        self.counts: collections.Counter[str] = collections.Counter()

    def count(self, name: str, n: int = 1) -> None:
        """Counts something if it falls into the measured time."""
        if self.measuring:
            self.counts[name] += n


class Caller(protocol.Protocol):
    """Calls again and again on one connection."""

    def __init__(
        self,
        name: str,
        load: Load,
        tally: Tally,
        rng: random.Random,
        on_lost: Callable[[], None],
    ):
        self._on_lost = on_lost
        self._name = name
        self._load = load
        self._tally = tally
        self._rng = rng
        self._calls = 0
        self._timer: Any = None
        self._rest = b""
        self._refused = False

    def connectionMade(self) -> None:  # noqa: N802 - a name of twisted
        """Begins at a random moment."""
        self.transport.setTcpNoDelay(True)
        self._later(self._rng.uniform(0, START_S))

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Stops calling."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._on_lost()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Takes whole lines; events and chunk sizes have lines of their own."""
        *lines, self._rest = (self._rest + data).split(b"\n")
        now = time.perf_counter()
        for line in lines:
            self._take(line, now)
        if self._refused and b"}" in self._rest:
            kind = json.loads(self._rest).get("kind", "other")
            self._tally.count("refused")
            self._tally.count(f"refused.{kind}")
            self.transport.loseConnection()

    def _take(self, line: bytes, now: float) -> None:
        if line.startswith(b"data: {"):
            if not self._tokens:
                self._first_at = now
            self._last_at = now
            self._tokens += 1
            self._tally.count("tokens")
        elif line.startswith(b"data: [DONE]"):
            self._done = True
        elif line == b"0\r":
            self._finish()
        elif line.startswith(b"HTTP/1.1 ") and b" 200 " not in line:
            self._refused = True

    def _later(self, delay: float) -> None:
        self._timer = reactor.callLater(delay, self._call)

    def _call(self) -> None:
        self._calls += 1
        self._tokens = 0
        self._done = False
        self._was_measuring = self._tally.measuring
        self._sent_at = time.perf_counter()
        self.transport.write(self._request())

    def _finish(self) -> None:
        whole = self._done and self._tokens == self._load.max_tokens
        self._tally.count("answers" if whole else "broken")
        if self._was_measuring and self._tokens:
            self._tally.first_s.append(self._first_at - self._sent_at)
            gaps = max(1, self._tokens - 1)
            self._tally.gap_s.append((self._last_at - self._first_at) / gaps)
        self._later(self._rng.uniform(0, THINK_S))

    def _request(self) -> bytes:
        request_id = f"{self._name}-{self._calls}"
        question = f"{request_id}: which chuck for this end? " + "x" * 400
        body = json.dumps(
            {
                "request_id": request_id,
                "model": demo.MODEL,
                "messages": [{"role": "user", "content": question}],
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
    """Callers of one block, which connect again when they are cut off."""

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
        for one in self._callers:
            one.transport.loseConnection()

    async def _connect(self, i: int) -> None:
        made = Caller(
            f"{self._name}-{i}-{len(self._callers)}",
            self._load,
            self._tally,
            random.Random(self._rng.random()),
            lambda: self._lost(i),
        )
        await endpoints.connectProtocol(self._endpoint, made)
        self._callers.append(made)

    def _lost(self, i: int) -> None:
        """Connects again after a pause, as a caller that was refused does."""
        if not self._stopped:
            task.deferLater(reactor, RECONNECT_S, self._again, i)

    def _again(self, i: int) -> None:
        if not self._stopped:
            defer.ensureDeferred(self._connect(i)).addErrback(lambda _: None)
