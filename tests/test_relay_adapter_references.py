"""Tests of adapter references."""

from azureline.relay import adapter_references

FIRST = adapter_references.ReferenceKey("127.0.0.1", 1, 7)
SECOND = adapter_references.ReferenceKey("127.0.0.2", 1, 7)


def test_adapter_is_in_use_until_its_last_request_ends():
    references = adapter_references.AdapterReferences()
    references.add(FIRST, "m", "a1", 0.0)
    references.add(SECOND, "m", "a1", 1.0)
    references.remove(FIRST)
    assert references.in_use(2.0) == {("m", "a1")}
    references.remove(SECOND)
    assert not references.in_use(2.0)


def test_repeated_grant_adds_no_second_reference():
    references = adapter_references.AdapterReferences()
    for at in (0.0, 0.1):
        references.add(FIRST, "m", "a1", at)
    references.remove(FIRST)
    references.remove(FIRST)
    assert not references.in_use(1.0)


def test_reference_expires_without_release():
    """A release may be lost, or its node may crash before sending it."""
    references = adapter_references.AdapterReferences()
    references.add(FIRST, "m", "a1", 0.0)
    references.add(SECOND, "m", "a2", 10.0)
    assert references.in_use(14.0) == {("m", "a1"), ("m", "a2")}
    assert references.in_use(16.0) == {("m", "a2")}
    # A repeated grant renews the reference.
    references.add(SECOND, "m", "a2", 16.0)
    assert references.in_use(30.0) == {("m", "a2")}
    assert not references.in_use(40.0)
