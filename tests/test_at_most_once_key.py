"""Tests of idempotency keys, pages and wire messages."""

import random
import uuid

from hypothesis import given
from hypothesis import strategies as st
import pytest

from azureline.at_most_once import key
from azureline.at_most_once import messages
from azureline.at_most_once import page
from azureline.core import errors
from azureline.core import wire

NOW = 1.7e9


@given(st.integers(0, 1 << 32), st.floats(0.0, 800.0))
def test_an_issued_key_is_a_uuid7_with_its_time(seed, age_s):
    text = key.issue(NOW - age_s, random.Random(seed))
    assert uuid.UUID(text).version == 7
    assert uuid.UUID(text).variant == uuid.RFC_4122
    assert key.parse(text, NOW).issued_s == int(NOW - age_s)


@pytest.mark.parametrize(
    ("text", "kind"),
    [
        ("", errors.ErrorKind.KEY_INVALID),
        ("approve-lot-7", errors.ErrorKind.KEY_INVALID),
        (
            str(uuid.UUID(int=5 << 76 | 2 << 62)),
            errors.ErrorKind.KEY_INVALID,
        ),
        (
            key.issue(NOW + key.MAX_FUTURE_S + 2, random.Random(1)),
            errors.ErrorKind.KEY_INVALID,
        ),
        (
            key.issue(NOW - key.RETENTION_S - 2, random.Random(1)),
            errors.ErrorKind.KEY_EXPIRED,
        ),
    ],
)
def test_a_bad_or_old_key_is_refused(text, kind):
    assert key.parse(text, NOW).kind is kind


def test_a_key_from_the_future_may_have_run_on_a_node_ahead():
    text = key.issue(NOW + key.MAX_FUTURE_S + 2, random.Random(1))
    assert key.parse(text, NOW).answer.ran is errors.Ran.UNKNOWN
    assert key.parse("approve", NOW).answer.ran is errors.Ran.NO


def test_callers_do_not_share_keys():
    assert key.digest("ab", "c") != key.digest("a", "bc")


ENTRIES = st.builds(
    page.Entry,
    st.binary(min_size=8, max_size=8),
    st.binary(min_size=4, max_size=4),
    st.integers(0, (1 << 32) - 1),
    st.sampled_from(page.State),
    st.integers(1, page.MAX_ATTEMPT),
)
STAMPS = st.builds(
    page.WriteId,
    st.integers(0, 1 << 40),
    st.text(max_size=9),
    st.integers(0, 9),
)
VALUES = st.builds(
    page.Page,
    st.integers(0, 1 << 40),
    st.booleans(),
    STAMPS,
    st.integers(0, 1 << 32),
    st.lists(ENTRIES, max_size=5).map(tuple),
) | st.builds(
    page.Chunk,
    st.integers(0, 1 << 40),
    st.integers(0, 1 << 40),
    STAMPS,
    st.integers(0, 1 << 32),
    st.lists(ENTRIES, max_size=5).map(page.pack_entries),
)


@given(VALUES)
def test_pages_and_chunks_survive_encoding(value):
    assert page.unpack(page.pack(value)) == value


@given(st.binary(max_size=80))
def test_any_bytes_give_a_value_or_a_malformed_error(data):
    try:
        page.unpack(data)
    except page.MalformedError:
        return


@given(st.permutations([(1, 0), (1, 2), (2, 0), (2, 1)]))
def test_the_latest_state_wins_in_any_order(states):
    latest = None
    for attempt, state in states:
        entry = page.Entry(b"k" * 8, b"b" * 4, 1, page.State(state), attempt)
        latest = page.latest_state(latest, entry)
    assert (latest.attempt, latest.state) == (2, page.State.RAN)


def test_refusals_survive_encoding():
    codec = wire.Codec(messages.MESSAGES)
    refusal = errors.Refusal(
        errors.ErrorKind.DID_NOT_RUN, "lost", 2.5, errors.Ran.UNKNOWN
    )
    sent = messages.refused(0, "r1", refusal)
    assert messages.refusal(codec.unpack(codec.pack(sent))) == refusal
