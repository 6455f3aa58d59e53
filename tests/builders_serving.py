"""Fakes for tests of request handling: engines, reactor and answers."""

import random
from typing import Any

from twisted.internet import defer
from twisted.internet import task

from azureline import requests
from azureline.backends import http
from azureline.fleet import directory as directories
from azureline.metrics import counters as metrics
from azureline.routing import admission
from azureline.routing import breaker
from azureline.routing import limits
from azureline.routing import picker
from azureline.routing import retry
from azureline.routing import suspects
from azureline.serving import generations
from tests import builders_directory

MODEL = "seam"


class Clock(task.Clock):
    """A reactor whose time is advanced by tests; also the node's clock."""

    def now(self) -> float:
        return self.seconds()

    def wall(self) -> float:
        return 1.7e9 + self.seconds()


class Answer:
    """Collects what a caller receives; reads nothing while `blocked`."""

    def __init__(self):
        self.blocked = False
        self.unsent_bytes = 0
        self.data = b""
        self.finished = False
        self.refusal = None
        self.observer = None

    def set_observer(self, observer):
        self.observer = observer

    def write(self, data):
        self.data += data
        if self.blocked:
            self.unsent_bytes += len(data)

    def finish(self):
        self.finished = True

    def refuse(self, refusal):
        self.refusal = refusal

    @property
    def ended(self) -> bool:
        """Whether the caller has its final answer."""
        return self.finished or self.refusal is not None


class Transport:
    """The connection of one stream."""

    def __init__(self):
        self.closed = False

    def loseConnection(self):  # noqa: N802
        self.closed = True

    def pauseProducing(self):  # noqa: N802
        pass

    def resumeProducing(self):  # noqa: N802
        pass


class Backends:
    """Engines that a test controls; records each stream that is opened.

    Attributes:
      unanswered: whether the engines run calls but send no head.
    """

    def __init__(self):
        self.unanswered = False
        self.streams: list[tuple[str, str, Any]] = []
        self.refuse: dict[str, int | http.Failure] = {}
        self.cancelled: list[str] = []
        self.resumed: list[int] = []
        self.transports: list[Transport] = []

    async def generate(self, url, body):
        if self.unanswered:
            await defer.Deferred()
        return self._open(url, body["request_id"])

    async def resume(self, url, request_id, offset):
        self.resumed.append(offset)
        return self._open(url, request_id)

    async def cancel(self, url, request_id):
        self.cancelled.append(request_id)

    def forward_body(self, stream, sink):
        stream.response.append(sink)
        self.transports.append(Transport())
        sink.on_opened(self.transports[-1])

    def _open(self, url, request_id):
        failure = self.refuse.get(url)
        if isinstance(failure, http.Failure):
            return failure
        sinks: list[Any] = []
        self.streams.append((url, request_id, sinks))
        return http.Stream(failure or 200, "1,0", request_id, sinks)

    def send(self, first: int, last: int, done: bool = False) -> None:
        """Sends events on the newest stream."""
        _, request_id, sinks = self.streams[-1]
        data = b"".join(event(request_id, i) for i in range(first, last))
        sinks[0].on_data(data + (b"data: [DONE]\n\n" if done else b""))

    def close(self) -> None:
        """Closes the newest stream's connection before its end event."""
        self.streams[-1][2][0].on_closed("ConnectionLost")


class Adapters:
    """Reports every adapter as loaded; does not reply while `deferred`."""

    def __init__(self):
        self.deferred = False
        self.waiting: list[Any] = []

    def ensure(self, engine, adapter, done):
        if self.deferred:
            self.waiting.append(done)
        else:
            done(True)

    def invalidate(self, engine, adapter):
        pass


class GenerationHarness:
    """`Generations` with real admission, retries and suspects; fake engines."""

    def __init__(self, engines: int = 2):
        self.clock = Clock()
        self.backends = Backends()
        self.adapters = Adapters()
        self.counters = metrics.Counters()
        self.directory = directories.Directory("d1")
        self.directory.configure(builders_directory.configuration())
        for number in range(1, engines + 1):
            name = f"e{number}"
            vm = builders_directory.vm(name, f"d{number}")
            self.directory.update_vm(vm._replace(port=9000 + number))
            view = builders_directory.engine_view(**{MODEL: "ready"})
            self.directory.update_view(name, view)
        rng = random.Random(1)
        breakers = breaker.Breakers(rng)
        chooser = picker.Picker("n1", "d1", rng, breakers)
        self.suspects = suspects.SuspectTable()
        self.generations = generations.Generations(
            self.clock,
            self.clock,
            admission.Admission(chooser, limits.Limits(), rng),
            retry.RetryPolicy(rng),
            self.suspects,
            self.directory,
            self.adapters,
            self.backends,
            self.counters,
        )
        self.generations.update_replicas([MODEL])

    def begin(self, number: int = 1, **fields: Any) -> Answer:
        """Sends a call and returns its answer."""
        answer = Answer()
        messages = [{"role": "user", "content": "hi"}]
        self.generations.start(call(number, **fields), messages, answer)
        return answer

    def advance(self, seconds: float) -> None:
        """Advances time in steps of the node's tick interval."""
        self.clock.pump([0.05] * round(seconds / 0.05))


def call(number: int = 1, **fields: Any) -> requests.ModelCall:
    """Returns a call of normal priority with its deadline at 60 s."""
    values = {
        "request_id": f"r{number}",
        "caller": "plant-a",
        "model": MODEL,
        "adapter": "",
        "priority": requests.Priority.NORMAL,
        "deadline": 60.0,
        "prompt_tokens": 10,
        "max_tokens": 100,
        "prefix": b"p",
        "content": b"c%d" % number,
        **fields,
    }
    return requests.ModelCall(**values)


def event(request_id: str, offset: int) -> bytes:
    """Returns one event of an engine's stream."""
    return f'id: {offset}\ndata: {{"id":"{request_id}"}}\n\n'.encode()


def result_of(waiting: Any) -> Any:
    """Returns the result of a coroutine that does not wait."""
    results: list[Any] = []
    defer.ensureDeferred(waiting).addBoth(results.append)
    return results[0]
