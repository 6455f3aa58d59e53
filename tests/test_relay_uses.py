"""Tests of adapter references."""

from azureline.relay import uses

FIRST = uses.User("127.0.0.1", 1, 7)
SECOND = uses.User("127.0.0.2", 1, 7)


def test_adapter_is_in_use_until_its_last_request_ends():
    references = uses.Uses()
    references.begin(FIRST, "m", "a1", 0.0)
    references.begin(SECOND, "m", "a1", 1.0)
    references.end(FIRST)
    assert references.adapters(2.0) == {("m", "a1")}
    references.end(SECOND)
    assert not references.adapters(2.0)


def test_repeated_grant_adds_no_second_reference():
    references = uses.Uses()
    for at in (0.0, 0.1):
        references.begin(FIRST, "m", "a1", at)
    references.end(FIRST)
    references.end(FIRST)
    assert not references.adapters(1.0)


def test_reference_expires_without_release():
    """A release may be lost, or its node may crash before sending it."""
    references = uses.Uses()
    references.begin(FIRST, "m", "a1", 0.0)
    references.begin(SECOND, "m", "a2", 10.0)
    assert references.adapters(14.0) == {("m", "a1"), ("m", "a2")}
    assert references.adapters(16.0) == {("m", "a2")}
    # A repeated grant renews the reference.
    references.begin(SECOND, "m", "a2", 16.0)
    assert references.adapters(30.0) == {("m", "a2")}
    assert not references.adapters(40.0)
