"""Asks the holders of engines for adapters, and answers such questions."""

from collections.abc import Callable
import itertools
from typing import Any
from typing import NamedTuple

from twisted.internet import defer

from azureline.core import clock as clocks
from azureline.metrics import counters as metrics
from azureline.relay import messages
from azureline.relay import peers as peers_lib
from azureline.relay import residency as residencies
from azureline.relay import servers

# A datagram may be lost: the question is sent again, it is idempotent.
_AGAIN_S = 0.08
_GIVE_UP_S = 0.6
# A grant holds for requests of the same node for a while.
_GRANT_S = 0.8


class _Ask(NamedTuple):
    answer: defer.Deferred[tuple[bool, float, str]]
    question: messages.AdapterAsk
    began: float


class AdapterAsks:
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
        self._granted: dict[tuple[str, int, str, str], float] = {}
        peers.on(messages.AdapterAnswer, self._answered)

    def ask(
        self, server: servers.BackendServer, model: str, adapter: str
    ) -> defer.Deferred[tuple[bool, float, str]]:
        """Asks for an adapter at an engine.

        Returns:
          A deferred of (granted, seconds to wait, reason).
        """
        now = self._clock.now()
        key = (server.server_id, server.born_ms, model, adapter)
        if self._granted.get(key, 0.0) > now and self._residency.has_adapter(
            server, model, adapter
        ):
            return defer.succeed((True, 0.0, ""))
        ask = _Ask(
            defer.Deferred(),
            messages.AdapterAsk(
                next(self._numbers), server.server_id, model, adapter
            ),
            now,
        )
        self._asks[ask.question.ask] = ask
        self._send(ask.question.ask)
        return ask.answer.addCallback(self._note_grant, key)

    def _note_grant(
        self,
        answer: tuple[bool, float, str],
        key: tuple[str, int, str, str],
    ) -> tuple[bool, float, str]:
        if answer[0]:
            if len(self._granted) > 1000:
                self._granted.clear()
            self._granted[key] = self._clock.now() + _GRANT_S
        return answer

    def _send(self, number: int) -> None:
        ask = self._asks.get(number)
        if ask is None:
            return
        if self._clock.now() - ask.began > _GIVE_UP_S:
            self._finish(number, self._unanswered(ask.question))
            return
        # The timer first: this node may be the holder and answer at once.
        self._reactor.callLater(_AGAIN_S, self._send, number)
        holder = self._peers.holder_of(ask.question.server_id)
        if holder is not None:
            self._peers.send(holder, ask.question)

    def _unanswered(
        self, question: messages.AdapterAsk
    ) -> tuple[bool, float, str]:
        """Returns the answer in place of a holder that says nothing."""
        self._counters.count("adapters.unanswered")
        server = self._catalogue.get(question.server_id)
        if server is not None and self._residency.has_adapter(
            server, question.model, question.adapter
        ):
            return True, 0.0, ""
        return False, 0.0, "holder does not answer"

    def _answered(
        self, message: messages.AdapterAnswer, host: str, port: int
    ) -> None:
        wait_s = message.wait_ms / 1000
        self._finish(message.ask, (message.granted, wait_s, message.reason))

    def _finish(self, number: int, result: tuple[bool, float, str]) -> None:
        ask = self._asks.pop(number, None)
        if ask is not None:
            ask.answer.callback(result)


class AdapterAnswers:
    """Answers the questions of other nodes about engines held here."""

    def __init__(
        self,
        peers: peers_lib.Peers,
        wish: Callable[
            [messages.AdapterAsk],
            defer.Deferred[tuple[bool, float, str]] | None,
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
        self._open: set[tuple[str, int, int]] = set()
        peers.on(messages.AdapterAsk, self._asked)

    def _asked(
        self, question: messages.AdapterAsk, host: str, port: int
    ) -> None:
        key = (host, port, question.ask)
        if key in self._open:
            return  # Sent again while the first one waits.
        wished = self._wish(question)
        if wished is None:
            return
        self._open.add(key)
        wished.addCallback(self._answer, key)

    def _answer(
        self, result: tuple[bool, float, str], key: tuple[str, int, int]
    ) -> None:
        host, port, ask = key
        self._open.discard(key)
        granted, wait_s, reason = result
        self._counters.count(
            "adapters.granted" if granted else "adapters.denied"
        )
        answer = messages.AdapterAnswer(
            ask, granted, int(wait_s * 1000 + 0.999), reason
        )
        self._peers.reply(host, port, answer)
