"""Software version of each stream, known to a few nodes while it matters.

A node remembers at which version its streams began.  While several versions of
a service may have begun streams, it tells two other nodes, which are found by
the stream's id, so that a caller can take the stream up at any node.  A node
that knows of a single version may have missed that another one has joined, so
it asks them, too.  If they have failed, it compares its view with the store.
"""

import bisect
from collections.abc import Awaitable
from collections.abc import Callable
import hashlib
import itertools
from typing import Any
from typing import NamedTuple

from twisted.internet import defer

from azureline.core import clock as clocks
from azureline.metrics import counters as metrics
from azureline.relay import messages
from azureline.relay import peers as peers_lib
from azureline.relay import servers
from azureline.relay import service_versions

# Nodes that keep the version of a stream beside the node that serves it.
_KEEPERS = 2
# Nodes that are asked for it: one more, as the last keeper may be gone.
_ASKED = 3
# Answers that confirm that this node is in touch with others.
_MIN_ANSWERS = 2
# Datagrams may be lost, so a question is sent again once.
_RETRANSMIT_S = 0.08
_ANSWER_TIMEOUT_S = 0.2
# Bounds of what is remembered, in streams and in characters.
_MAX_STREAMS = 20_000
_MAX_ID = 128
# Version of a stream that is named for two versions; no server has it.
_AMBIGUOUS = None
# A server's entry tells within this time that it has started again.
_ENTRY_LAG_S = 5.0


class Known(NamedTuple):
    """The version at which a stream began.

    Attributes:
      version: the version.
      source: how this node knows it, for logs.
    """

    version: str
    source: str


class Unknown(NamedTuple):
    """Falsy sentinel: nobody who was asked knows a stream's version.

    Attributes:
      reason: why, for logs.
    """

    reason: str

    def __bool__(self) -> bool:
        return False


class _Stream(NamedTuple):
    service: str
    version: str | None
    at: float
    server_id: str = ""


class StreamVersions:
    """The versions of this node's streams, and of those it keeps for others."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        peers: peers_lib.Peers,
        versions: service_versions.ServiceVersions,
        is_view_current: Callable[[], Awaitable[bool]],
        counters: metrics.Counters,
    ):
        """Creates an instance that knows no stream.

        Args:
          reactor: the Twisted reactor.
          clock: source of time.
          peers: the other nodes.
          versions: the versions that may have begun streams.
          is_view_current: returns whether this node has all changes that the
            store made before the call.
          counters: counts the questions to other nodes.
        """
        self._reactor = reactor
        self._clock = clock
        self._peers = peers
        self._versions = versions
        self._is_view_current = is_view_current
        self._counters = counters
        self._own: dict[str, _Stream] = {}
        self._kept: dict[str, _Stream] = {}
        # Services of whose streams other nodes have been told.
        self._shared: set[str] = set()
        self._ring: list[tuple[bytes, str]] = []
        self._ring_names: tuple[str, ...] = ()
        self._questions: dict[int, _Question] = {}
        self._numbers = itertools.count(1)
        peers.on(messages.StreamBegan, self._on_began)
        peers.on(messages.StreamQuestion, self._on_question)
        peers.on(messages.StreamAnswer, self._on_answer)

    def stream_began(self, stream: str, server: servers.BackendServer) -> None:
        """Records that events of a stream are passed on.

        Args:
          stream: id of the caller's attempt that brought the first event.
          server: the server that writes them.
        """
        if not stream or len(stream) > _MAX_ID:
            return
        self._record_own(stream, server)

    def server_replaced(self, server: servers.BackendServer) -> None:
        """Records that a server has started again at another version.

        Its entry is late, so streams that began shortly before may be of either
        version.

        Args:
          server: the newer entry.
        """
        since = self._clock.now() - _ENTRY_LAG_S
        for stream, known in list(self._own.items()):
            if known.server_id == server.server_id and known.at >= since:
                self._record_own(stream, server)

    def _record_own(self, stream: str, server: servers.BackendServer) -> None:
        service, version = server.service, server.software_version
        now = self._clock.now()
        began = _Stream(service, version, now, server.server_id)
        _remember(self._own, stream, began)
        if self._is_shared(service):
            self._tell_keepers(stream, service, version)

    def expire(self) -> None:
        """Forgets old streams; shares those of services with new versions."""
        for service in self._versions_of_own():
            if self._is_shared(service) and service not in self._shared:
                self._shared.add(service)
                for stream, known in self._own.items():
                    if known.service == service and known.version is not None:
                        self._tell_keepers(stream, service, known.version)
        self._shared = {s for s in self._shared if self._is_shared(s)}
        oldest = self._clock.now() - service_versions.STREAM_LIFETIME_S
        for memory in (self._own, self._kept):
            _expire(memory, oldest)

    async def find(self, stream: str, service: str) -> Known | Unknown:
        """Returns the version at which a stream began.

        Args:
          stream: id of the caller's attempt that brought the first event; ""
            if the caller names none.
          service: the stream's service.
        """
        stream = stream if len(stream) <= _MAX_ID else ""
        if remembered := self._remembered(stream, service):
            return _known(remembered)
        if not stream and not self._single_version(service):
            return Unknown("the caller names no stream")
        answers = await self._ask(stream, service)
        if stream and any(answers.versions):
            return Known(next(filter(None, answers.versions)), "other node")
        if not self._single_version(service):
            return Unknown("no node knows the stream")
        if answers.suffice:
            source = "single version"
        elif await self._is_view_current():
            source = "store"
        else:
            return Unknown("neither other nodes nor the store answer")
        # Another version may have joined during the check.
        if remembered := self._remembered(stream, service):
            return _known(remembered)
        single = self._single_version(service)
        if not single:
            return Unknown("no node knows the stream")
        if not stream and set(answers.versions) - {single}:
            return Unknown("another node knows of another version")
        return Known(single, source)

    def _remembered(self, stream: str, service: str) -> "_Stream | None":
        for memory in (self._own, self._kept):
            known = memory.get(stream)
            if known is not None and known.service == service:
                return known
        return None

    def _single_version(self, service: str) -> str:
        """Returns the version of all streams of a service, or ""."""
        possible = self._versions.possible(service)
        if possible is None or len(possible) != 1:
            return ""
        return next(iter(possible))

    def _versions_of_own(self) -> set[str]:
        return {known.service for known in self._own.values()}

    def _is_shared(self, service: str) -> bool:
        possible = self._versions.possible(service)
        return possible is None or len(possible) > 1

    def _tell_keepers(self, stream: str, service: str, version: str) -> None:
        message = messages.StreamBegan(stream, service, version)
        for record in self._keepers(stream, _KEEPERS):
            self._peers.send(record, message)

    def _keepers(self, stream: str, count: int) -> list[Any]:
        """Returns the other nodes that follow a stream's id on a hash ring."""
        names = tuple(self._peers.nodes)
        if names != self._ring_names:
            self._ring_names = names
            self._ring = sorted((_digest(name), name) for name in names)
        start = bisect.bisect(self._ring, (_digest(stream), ""))
        ordered = self._ring[start:] + self._ring[:start]
        found = [n for _, n in ordered if n != self._peers.name][:count]
        return [self._peers.nodes[name] for name in found]

    async def _ask(self, stream: str, service: str) -> "_Answers":
        """Asks the keepers of a stream for its version.

        Without a stream, they answer with the single version that they know.
        """
        asked = self._keepers(stream, _ASKED)
        names = {record.name for record in asked}
        question = _Question(defer.Deferred(), names, [], bool(stream))
        if not asked:
            return _Answers(0, ())
        number = next(self._numbers)
        self._questions[number] = question
        message = messages.StreamQuestion(number, stream, service)
        self._counters.count("streams.version_asked")

        def send() -> None:
            for record in asked:
                self._peers.send(record, message)

        again = self._reactor.callLater(_RETRANSMIT_S, send)
        give_up = self._reactor.callLater(_ANSWER_TIMEOUT_S, question.finish)
        send()
        try:
            await question.done
        finally:
            del self._questions[number]
            for timer in (again, give_up):
                if timer.active():
                    timer.cancel()
        return _Answers(len(asked), tuple(question.versions))

    def _on_began(
        self, began: messages.StreamBegan, host: str, port: int
    ) -> None:
        kept = _Stream(began.service, began.version, self._clock.now())
        _remember(self._kept, began.stream, kept)

    def _on_question(
        self, question: messages.StreamQuestion, host: str, port: int
    ) -> None:
        version = ""
        if not question.stream:
            version = self._single_version(question.service)
        for memory in (self._own, self._kept):
            known = memory.get(question.stream)
            if known is not None and known.service == question.service:
                version = known.version or ""
        answer = messages.StreamAnswer(
            question.number, self._peers.name, version
        )
        self._peers.reply(host, port, answer)

    def _on_answer(
        self, answer: messages.StreamAnswer, host: str, port: int
    ) -> None:
        question = self._questions.get(answer.number)
        if question is None or answer.node not in question.waiting:
            return
        question.waiting.discard(answer.node)
        question.versions.append(answer.version)
        is_known = bool(answer.version and question.names_stream)
        if is_known or not question.waiting:
            question.finish()


class _Answers(NamedTuple):
    """What other nodes answered.

    Attributes:
      asked: number of nodes that were asked.
      versions: the version that each answer names, or "".
    """

    asked: int
    versions: tuple[str, ...]

    @property
    def suffice(self) -> bool:
        """Whether they show that this node is in touch with others.

        Nodes that have failed do not answer, so too few answers mean little.
        """
        return len(self.versions) >= max(1, min(_MIN_ANSWERS, self.asked))


class _Question(NamedTuple):
    """A question that waits for answers.

    Attributes:
      done: fired when the answers suffice.
      waiting: names of the nodes that have not answered.
      versions: the versions that were answered.
      names_stream: whether it asks for one stream.
    """

    done: "defer.Deferred[None]"
    waiting: set[str]
    versions: list[str]
    names_stream: bool

    def finish(self) -> None:
        if not self.done.called:
            self.done.callback(None)


def _known(stream: _Stream) -> Known | Unknown:
    if stream.version is _AMBIGUOUS:
        return Unknown("the id names two streams")
    return Known(stream.version, "memory")


def _remember(memory: dict[str, _Stream], stream: str, began: _Stream) -> None:
    known = memory.pop(stream, None)
    if known is not None and (known.service, known.version) != (
        began.service,
        began.version,
    ):
        began = began._replace(version=_AMBIGUOUS)
    memory[stream] = began
    while len(memory) > _MAX_STREAMS:
        del memory[next(iter(memory))]


def _expire(memory: dict[str, _Stream], oldest: float) -> None:
    for stream, known in list(memory.items()):
        if known.at > oldest:
            return
        del memory[stream]


def _digest(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
