"""Asks the holders of engines for room, and answers such questions.

A request that names an adapter, or has a long prompt, is sent to an engine
only when the engine's holder agrees: the holder alone knows which adapters
can be loaded and how many prompts wait to be read there.
"""

from collections.abc import Callable
import itertools
from typing import Any
from typing import NamedTuple

from twisted.internet import defer

from azureline.core import clock as clocks
from azureline.metrics import counters as metrics
from azureline.relay import messages
from azureline.relay import peers as peers_lib
from azureline.relay import prefill
from azureline.relay import residency as residencies
from azureline.relay import servers
from azureline.relay import uses

# A datagram may be lost: the question is sent again, it is idempotent.
_AGAIN_S = 0.08
# An adapter is worth this wait for its holder; a prompt alone is not.
_ADAPTER_GIVE_UP_S = 0.6
_PROMPT_GIVE_UP_S = 0.15
# A holder that left a question unanswered is not waited for again so soon.
_SILENT_S = 1.0
# What an engine without a holder does not have, it cannot load before another
# node has claimed it and waited for the orders of the holder before.
_TAKEOVER_S = 4.0


class Answer(NamedTuple):
    """What a holder says to a request for its engine.

    Attributes:
      granted: whether the request may be sent.
      wait_s: seconds to wait before it is sent; without a grant, seconds until
        it may be granted, or 0 if nothing tells.
      backlog_s: seconds of prompts that wait to be read there.
      reason: why it is not granted, or "".
      reading_s: seconds to read the rest of the prompt at the nominal rate.
      ask: number of the question, by which a holder that granted an adapter is
        told that the request has ended; 0 if no holder answered.
    """

    granted: bool
    wait_s: float = 0.0
    backlog_s: float = 0.0
    reason: str = ""
    reading_s: float = 0.0
    ask: int = 0


class _Ask(NamedTuple):
    answer: defer.Deferred[Answer]
    question: messages.EngineAsk
    began: float


class Asks:
    """This node's questions that have no answer yet."""

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        peers: peers_lib.Peers,
        catalogue: servers.Catalogue,
        residency: residencies.Residency,
        counters: metrics.Counters,
    ):
        """Creates the asking side of a node."""
        self._reactor = reactor
        self._clock = clock
        self._peers = peers
        self._catalogue = catalogue
        self._residency = residency
        self._counters = counters
        self._numbers = itertools.count(1)
        self._asks: dict[int, _Ask] = {}
        # Adapters that were granted to requests which have not ended.
        self._granted: set[int] = set()
        self._silent: dict[str, float] = {}
        peers.on(messages.EngineAnswer, self._answered)

    @property
    def silent_holders(self) -> int:
        """Engines whose holders are remembered for their silence."""
        return len(self._silent)

    @property
    def granted(self) -> int:
        """Grants of adapters to requests that have not ended."""
        return len(self._granted)

    def ask(
        self,
        server: servers.BackendServer,
        model: str,
        adapter: str,
        prompt: prefill.Prompt,
        most_s: float,
    ) -> defer.Deferred[Answer]:
        """Asks for room at an engine.

        Args:
          server: the engine.
          model: the request's model.
          adapter: its adapter, or "".
          prompt: its prompt.
          most_s: seconds of waiting prompts that it puts up with.
        """
        question = messages.EngineAsk(
            next(self._numbers),
            server.server_id,
            model,
            adapter,
            prompt.tokens,
            tuple((part.name, part.tokens) for part in prompt.shared),
            int(most_s * 1000),
            round(prompt.pace * 100),
        )
        # An answer to a question that was cancelled comes too late.
        answer: defer.Deferred[Answer] = defer.Deferred(
            lambda _: self._asks.pop(question.ask, None)
        )
        ask = _Ask(answer, question, self._clock.now())
        self._asks[question.ask] = ask
        silent = self._silent.get(server.server_id, 0.0) > ask.began
        self._send(question.ask)
        if silent or self._peers.holder_of(server.server_id) is None:
            self._finish(question.ask, self._unanswered(question))
        return ask.answer

    def done(self, server_id: str, number: int) -> None:
        """Tells a holder that a request that it granted has ended."""
        self._granted.discard(number)
        holder = self._peers.holder_of(server_id)
        if holder is not None:
            self._peers.send(holder, messages.EngineDone(number, server_id))

    def _send(self, number: int) -> None:
        ask = self._asks.get(number)
        if ask is None:
            return
        question = ask.question
        give_up_s = (
            _ADAPTER_GIVE_UP_S if question.adapter else _PROMPT_GIVE_UP_S
        )
        now = self._clock.now()
        if now - ask.began > give_up_s:
            self._silent = {s: t for s, t in self._silent.items() if t > now}
            self._silent[question.server_id] = now + _SILENT_S
            self._finish(number, self._unanswered(question))
            return
        # The timer first: this node may be the holder and answer at once.
        self._reactor.callLater(_AGAIN_S, self._send, number)
        holder = self._peers.holder_of(question.server_id)
        if holder is not None:
            self._peers.send(holder, question)

    def _unanswered(self, question: messages.EngineAsk) -> Answer:
        """Returns the answer in place of a holder that says nothing."""
        self._counters.count("asks.unanswered")
        server = self._catalogue.get(question.server_id)
        if not question.adapter or (
            server is not None
            and self._residency.has_adapter(
                server, question.model, question.adapter
            )
        ):
            return Answer(True)
        # An engine that was never held is claimed without such a wait.
        held = question.server_id in self._peers.last_turns
        wait_s = _TAKEOVER_S if held else 0.0
        return Answer(False, wait_s, reason="holder does not answer")

    def _answered(
        self, message: messages.EngineAnswer, host: str, port: int
    ) -> None:
        self._silent.pop(message.server_id, None)
        in_use = message.ask in self._granted
        if message.granted and message.ask not in self._asks and not in_use:
            # Too late: nobody waits for it any more.
            self.done(message.server_id, message.ask)
        self._finish(
            message.ask,
            Answer(
                message.granted,
                message.wait_ms / 1000,
                message.backlog_ms / 1000,
                message.reason,
                message.reading_ms / 1000,
                message.ask,
            ),
        )

    def _finish(self, number: int, answer: Answer) -> None:
        ask = self._asks.pop(number, None)
        if ask is not None:
            if answer.granted and answer.ask and ask.question.adapter:
                self._granted.add(number)
            ask.answer.callback(answer)


class Answers:
    """Answers the questions of other nodes about engines held here."""

    def __init__(
        self,
        peers: peers_lib.Peers,
        wish: Callable[
            [messages.EngineAsk, uses.User], defer.Deferred[Answer] | None
        ],
        counters: metrics.Counters,
    ):
        """Creates the answering side of a node.

        Args:
          peers: the other nodes.
          wish: asks the engine's holder; None if it is not held here.
          counters: counts questions by their answer.
        """
        self._peers = peers
        self._wish = wish
        self._counters = counters
        self._open: set[uses.User] = set()
        peers.on(messages.EngineAsk, self._asked)

    def _asked(
        self, question: messages.EngineAsk, host: str, port: int
    ) -> None:
        key = uses.User(host, port, question.ask)
        if key in self._open:
            return  # Sent again while the first one waits.
        wished = self._wish(question, key)
        if wished is None:
            return
        self._open.add(key)
        wished.addCallback(self._answer, key, question.server_id)

    def _answer(self, answer: Answer, key: uses.User, server_id: str) -> None:
        self._open.discard(key)
        self._counters.count(
            "asks.granted" if answer.granted else "asks.denied"
        )
        told = messages.EngineAnswer(
            key.ask,
            server_id,
            answer.granted,
            int(answer.wait_s * 1000 + 0.999),
            int(answer.backlog_s * 1000),
            answer.reason,
            round(answer.reading_s * 1000),
        )
        self._peers.reply(key.host, key.port, told)
