"""Tests of the turns of connections with much to handle."""

import pytest

from azureline.core import clock as clocks
from azureline.util import turns
from tests import builders_http1 as builders


class _Connection:
    """Handles `parts` parts, one in each of its turns."""

    def __init__(self, waiting, clock, parts, cost_s):
        self._waiting = waiting
        self._clock = clock
        self._cost_s = cost_s
        self.left = parts
        self.next = waiting.call(self.read)

    def read(self):
        self._clock.advance(self._cost_s)
        self.left -= 1
        if self.left:
            self.next = self._waiting.call(self.read)


def _play(count, parts, cost_s):
    reactor, clock = builders.TurnReactor(), clocks.ManualClock()
    waiting = turns.Turns(reactor, clock.now)
    made = [_Connection(waiting, clock, parts, cost_s) for _ in range(count)]
    return reactor, clock, made


def test_a_turn_takes_a_bounded_time_however_many_wait():
    for count in (1, 10, 1000):
        reactor, clock, _ = _play(count, parts=100, cost_s=0.001)
        for _ in range(5):
            before = clock.now()
            reactor.turn()
            assert clock.now() - before <= turns.TURN_S + 0.001


def test_a_turn_is_bounded_though_the_clock_does_not_advance():
    reactor, _, made = _play(1000, parts=2, cost_s=0.0)
    reactor.turn()
    assert sum(2 - one.left for one in made) == turns.MAX_CALLS


def test_all_that_wait_get_their_turn_in_order():
    reactor, _, made = _play(20, parts=3, cost_s=0.001)
    while reactor.calls:
        reactor.turn()
        assert max(x.left for x in made) - min(x.left for x in made) <= 1
    assert not any(one.left for one in made)


def test_a_cancelled_call_is_not_made():
    reactor, _, made = _play(2, parts=1, cost_s=0.0)
    made[0].next.cancel()
    reactor.turn()
    assert [one.left for one in made] == [1, 0]
    assert not made[1].next.active()


def test_an_error_does_not_stop_those_that_wait():
    reactor, clock = builders.TurnReactor(), clocks.ManualClock()
    waiting = turns.Turns(reactor, clock.now)
    waiting.call(lambda: 1 // 0)
    done = []
    waiting.call(lambda: done.append(True))
    with pytest.raises(ZeroDivisionError):
        reactor.turn()
    reactor.turn()
    assert done
