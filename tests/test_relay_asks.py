"""Tests of the questions to holders, without a network."""

from azureline.metrics import counters as metrics
from azureline.relay import asks
from azureline.relay import keys
from azureline.relay import messages
from azureline.relay import peers as peers_lib
from azureline.relay import prefill
from azureline.relay import residency
from azureline.relay import servers
from tests import builders_relay
from tests import builders_serving

PROMPT = prefill.Prompt("m/a1", 600, ())


class _Peers(peers_lib.Peers):
    """Keeps what would be sent."""

    def send(self, record, message):
        self.sent.append(message)


class _Fixture:
    def __init__(self):
        self.clock = builders_serving.Clock()
        record = keys.NodeRecord("n1", "127.0.0.1", 1, "d1")
        self.peers = _Peers(record, self.clock, metrics.Counters())
        self.peers.sent = []
        catalogue = servers.Catalogue()
        self.asks = asks.Asks(
            self.clock,
            self.clock,
            self.peers,
            catalogue,
            residency.Residency(catalogue),
            metrics.Counters(),
        )

    def held_by(self, node):
        other = keys.NodeRecord(node, "127.0.0.1", 2, "d1")
        self.peers.set_node(other)
        self.peers.set_holder("e1", keys.HolderRecord(node, "x"))

    def ask(self, adapter="a1"):
        """Returns the answers to a question, at most one."""
        answers = []
        server = builders_relay.server("e1", "m")
        asked = self.asks.ask(server, "m", adapter, PROMPT, 0.2)
        asked.addCallback(answers.append)
        return answers

    def answer(self, granted=True):
        number = self.peers.sent[-1].ask
        told = messages.EngineAnswer(number, "e1", granted, 0, 0, "", 0)
        self.peers.datagram("127.0.0.1", 2, told)


def test_an_engine_without_a_holder_is_not_waited_for():
    fixture = _Fixture()
    (answer,) = fixture.ask()
    assert not answer.granted
    assert answer.wait_s == 0.0
    # Another node has held it: its orders must be waited for.
    fixture.peers.set_last_turn("e1", keys.TurnRecord("n2"))
    (answer,) = fixture.ask()
    assert answer.wait_s > 3.0
    (answer,) = fixture.ask(adapter="")
    assert answer.granted


def test_a_grant_that_comes_too_late_is_given_back():
    fixture = _Fixture()
    fixture.held_by("n2")
    (gave_up,) = [fixture.ask()]
    number = fixture.peers.sent[-1].ask
    fixture.clock.pump([0.1] * 8)
    assert not gave_up[0].granted
    fixture.answer()
    assert fixture.peers.sent[-1] == messages.EngineDone(number, "e1")


def test_a_grant_to_a_caller_that_has_left_is_given_back():
    fixture = _Fixture()
    fixture.held_by("n2")
    server = builders_relay.server("e1", "m")
    asked = fixture.asks.ask(server, "m", "a1", PROMPT, 0.2)
    asked.addErrback(lambda failure: None)
    asked.cancel()
    number = fixture.peers.sent[-1].ask
    fixture.answer()
    assert fixture.peers.sent[-1] == messages.EngineDone(number, "e1")


def test_a_silent_holder_is_waited_for_once():
    fixture = _Fixture()
    fixture.held_by("n2")
    first = fixture.ask()
    assert not first
    fixture.clock.pump([0.1] * 8)
    assert not first[0].granted
    assert len(fixture.ask()) == 1
    assert fixture.peers.sent, "It is asked all the same."
    fixture.clock.pump([0.1] * 11)
    assert not fixture.ask()


def test_holders_that_were_silent_are_forgotten():
    fixture = _Fixture()
    fixture.held_by("n2")
    for name in ("e1", "e2", "e3"):
        fixture.peers.set_holder(name, keys.HolderRecord("n2", "x"))
        server = builders_relay.server(name, "m")
        asked = fixture.asks.ask(server, "m", "a1", PROMPT, 0.2)
        fixture.clock.pump([0.1] * 20)
        assert asked.called
    assert fixture.asks.silent_holders <= 1


def test_a_holder_that_answers_again_is_waited_for():
    fixture = _Fixture()
    fixture.held_by("n2")
    fixture.ask()
    fixture.clock.pump([0.1] * 8)
    assert fixture.ask()
    fixture.answer()
    waiting = fixture.ask()
    assert not waiting
    fixture.answer()
    assert waiting[0].granted


def test_a_grant_that_is_told_twice_is_kept_until_the_request_ends():
    """A question that was sent again may be answered again."""
    fixture = _Fixture()
    fixture.held_by("n2")
    answers = fixture.ask()
    number = fixture.peers.sent[-1].ask
    fixture.clock.advance(0.1)  # It is sent again.
    fixture.answer()
    assert answers[0].granted
    sent = len(fixture.peers.sent)
    fixture.answer()
    assert fixture.peers.sent[sent:] == []
    done = messages.EngineDone(number, "e1")
    fixture.asks.done("e1", number)
    assert fixture.peers.sent[sent:] == [done]
    # The holder may have granted it once more since.
    told = messages.EngineAnswer(number, "e1", True, 0, 0, "", 0)
    fixture.peers.datagram("127.0.0.1", 2, told)
    assert fixture.peers.sent[sent:] == [done, done]


def test_grants_without_an_adapter_are_not_remembered():
    fixture = _Fixture()
    fixture.held_by("n2")
    fixture.ask(adapter="")
    fixture.answer()
    assert fixture.asks.granted == 0
