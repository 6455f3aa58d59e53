"""Tests of which adapters running requests use."""

from azureline.relay import uses

ALICE = uses.User("127.0.0.1", 1, 7)
BOB = uses.User("127.0.0.2", 1, 7)


def test_an_adapter_is_in_use_until_its_last_request_ends():
    book = uses.Uses()
    book.begin(ALICE, "m", "a1", 0.0)
    book.begin(BOB, "m", "a1", 1.0)
    book.end(ALICE)
    assert book.adapters(2.0) == {("m", "a1")}
    book.end(BOB)
    assert not book.adapters(2.0)


def test_a_request_that_is_granted_again_counts_once():
    book = uses.Uses()
    for at in (0.0, 0.1):
        book.begin(ALICE, "m", "a1", at)
    book.end(ALICE)
    book.end(ALICE)
    assert not book.adapters(1.0)


def test_a_request_whose_end_is_not_told_is_forgotten():
    book = uses.Uses()
    book.begin(ALICE, "m", "a1", 0.0)
    book.begin(BOB, "m", "a2", 10.0)
    assert book.adapters(14.0) == {("m", "a1"), ("m", "a2")}
    assert book.adapters(16.0) == {("m", "a2")}
    # Granted again: it counts from then.
    book.begin(BOB, "m", "a2", 16.0)
    assert book.adapters(30.0) == {("m", "a2")}
    assert not book.adapters(40.0)
