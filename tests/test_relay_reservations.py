"""Tests of reservation requests to lease holders, without a network."""

from azureline.metrics import counters as metrics
from azureline.relay import keys
from azureline.relay import messages
from azureline.relay import peers as peers_lib
from azureline.relay import prefill
from azureline.relay import reservations
from azureline.relay import residency
from azureline.relay import servers
from tests import builders_relay
from tests import builders_serving

PROMPT = prefill.Prompt("m/a1", 600, ())


class _Peers(peers_lib.Peers):
    """Records messages instead of sending them."""

    def send(self, record, message):
        self.sent.append(message)


class _Fixture:
    def __init__(self):
        self.clock = builders_serving.Clock()
        record = keys.NodeRecord("n1", "127.0.0.1", 1, "d1")
        self.peers = _Peers(record, self.clock, metrics.Counters())
        self.peers.sent = []
        catalogue = servers.Catalogue()
        self.asks = reservations.ReservationClient(
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
        """Sends a reservation request; returns a list for its answer."""
        answers = []
        server = builders_relay.server("e1", "m")
        pending = self.asks.reserve(server, "m", adapter, PROMPT, 0.2)
        pending.addCallback(answers.append)
        return answers

    def answer(self, granted=True):
        reservation_id = self.peers.sent[-1].reservation_id
        reply = messages.ReservationReply(
            reservation_id, "e1", granted, 0, 0, "", 0
        )
        self.peers.datagram("127.0.0.1", 2, reply)


def test_reservation_at_engine_without_lease_holder_is_answered_at_once():
    fixture = _Fixture()
    (answer,) = fixture.ask()
    assert not answer.granted
    assert answer.wait_s == 0.0
    # Another node was the lease holder, so its orders have to expire first.
    fixture.peers.set_last_turn("e1", keys.TermRecord("n2"))
    (answer,) = fixture.ask()
    assert answer.wait_s > 3.0
    (answer,) = fixture.ask(adapter="")
    assert answer.granted


def test_grant_after_timeout_is_released():
    fixture = _Fixture()
    fixture.held_by("n2")
    (timed_out,) = [fixture.ask()]
    reservation_id = fixture.peers.sent[-1].reservation_id
    fixture.clock.pump([0.1] * 8)
    assert not timed_out[0].granted
    fixture.answer()
    assert fixture.peers.sent[-1] == messages.ReservationRelease(
        reservation_id, "e1"
    )


def test_grant_of_cancelled_reservation_is_released():
    fixture = _Fixture()
    fixture.held_by("n2")
    server = builders_relay.server("e1", "m")
    pending = fixture.asks.reserve(server, "m", "a1", PROMPT, 0.2)
    pending.addErrback(lambda failure: None)
    pending.cancel()
    reservation_id = fixture.peers.sent[-1].reservation_id
    fixture.answer()
    assert fixture.peers.sent[-1] == messages.ReservationRelease(
        reservation_id, "e1"
    )


def test_only_first_reservation_waits_for_unresponsive_lease_holder():
    fixture = _Fixture()
    fixture.held_by("n2")
    first = fixture.ask()
    assert not first
    fixture.clock.pump([0.1] * 8)
    assert not first[0].granted
    assert len(fixture.ask()) == 1
    assert fixture.peers.sent, "no reservation request was sent"
    fixture.clock.pump([0.1] * 11)
    assert not fixture.ask()


def test_unresponsive_lease_holders_are_forgotten_after_a_while():
    fixture = _Fixture()
    fixture.held_by("n2")
    for name in ("e1", "e2", "e3"):
        fixture.peers.set_holder(name, keys.HolderRecord("n2", "x"))
        server = builders_relay.server(name, "m")
        pending = fixture.asks.reserve(server, "m", "a1", PROMPT, 0.2)
        fixture.clock.pump([0.1] * 20)
        assert pending.called
    assert fixture.asks.unresponsive_holder_count <= 1


def test_lease_holder_that_replies_again_is_waited_for():
    fixture = _Fixture()
    fixture.held_by("n2")
    fixture.ask()
    fixture.clock.pump([0.1] * 8)
    assert fixture.ask()
    fixture.answer()
    second = fixture.ask()
    assert not second
    fixture.answer()
    assert second[0].granted


def test_duplicate_grant_is_kept_until_the_request_ends():
    """A retransmitted reservation request may be answered twice."""
    fixture = _Fixture()
    fixture.held_by("n2")
    answers = fixture.ask()
    reservation_id = fixture.peers.sent[-1].reservation_id
    fixture.clock.advance(0.1)  # The request is retransmitted.
    fixture.answer()
    assert answers[0].granted
    sent = len(fixture.peers.sent)
    fixture.answer()
    assert fixture.peers.sent[sent:] == []
    done = messages.ReservationRelease(reservation_id, "e1")
    fixture.asks.release("e1", reservation_id)
    assert fixture.peers.sent[sent:] == [done]
    # The lease holder may have granted the retransmitted request since.
    reply = messages.ReservationReply(reservation_id, "e1", True, 0, 0, "", 0)
    fixture.peers.datagram("127.0.0.1", 2, reply)
    assert fixture.peers.sent[sent:] == [done, done]


def test_grants_without_adapter_are_not_tracked():
    fixture = _Fixture()
    fixture.held_by("n2")
    fixture.ask(adapter="")
    fixture.answer()
    assert fixture.asks.granted_count == 0
