"""Tests of versions, differences and the apply protocol."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from azureline.config import delta
from azureline.config import problems
from azureline.config import store
from azureline.config import version
from tests import builders_config

_KEYS = st.sampled_from("abc")
_DOCUMENTS = st.dictionaries(
    _KEYS,
    st.recursive(
        st.integers(0, 2) | st.lists(st.integers(0, 1), max_size=2),
        lambda inner: st.dictionaries(_KEYS, inner, max_size=3),
        max_leaves=6,
    ),
)


async def _no_sleep(seconds):
    del seconds


def _run(service, recheck=lambda document: None, **changes):
    request = _request(**changes)
    applier = store.Applier(service, _no_sleep, recheck)
    coroutine = applier.apply(request)
    try:
        while True:
            coroutine.send(None)
    except StopIteration as stop:
        return stop.value


def _request(document=None, identity="mine", **changes):
    if document is None:
        document = _edited(builders_config.accepted(), 7)
    return store.Request(document, "me", identity, **changes)


def _edited(accepted, slots=None, ratio=None):
    """Returns the document with one or two of its limits changed."""
    limits = dict(accepted.document["limits"])
    limits["adapters_in_transit"] = slots or limits["adapters_in_transit"]
    limits["retry_budget_ratio"] = ratio or limits["retry_budget_ratio"]
    return accepted.document | {"limits": limits}


def _service(accepted):
    service = builders_config.FakeService()
    if accepted:
        service.store(accepted)
    return service


def _stored_version(service):
    return version.decode(service.entry.value)


@given(_DOCUMENTS, _DOCUMENTS)
def test_a_diff_turns_one_document_into_the_other(old, new):
    edits = delta.unpack_edits(delta.pack_edits(delta.diff(old, new)))
    assert delta.apply_edits(old, edits) == new
    assert bool(edits.paths) == (old != new)


@given(_DOCUMENTS, _DOCUMENTS, _DOCUMENTS)
def test_disjoint_edits_commute(base, one, other):
    mine, theirs = delta.diff(base, one), delta.diff(base, other)
    if mine.overlap(theirs):
        return
    first = delta.apply_edits(delta.apply_edits(base, mine), theirs)
    assert first == delta.apply_edits(delta.apply_edits(base, theirs), mine)


@given(st.binary(max_size=100))
def test_arbitrary_bytes_are_malformed(data):
    for read in (version.decode, delta.unpack_edits):
        with pytest.raises(delta.MalformedError):
            read(data)


def test_an_altered_document_is_malformed():
    accepted = builders_config.accepted()
    altered = accepted._replace(document=_edited(accepted, 9))
    with pytest.raises(delta.MalformedError, match="digest"):
        version.decode(version.encode(altered))


def test_history_restores_earlier_documents():
    first = newest = builders_config.accepted(1)
    for number in range(2, 6):
        newest = builders_config.accepted(number, newest)
    decoded = version.decode(version.encode(newest))
    assert decoded == newest
    assert decoded.document_at(1) == first.document
    assert decoded.document_at(9) is None


def test_a_large_configuration_drops_history_then_is_rejected():
    noise = random.Random(1)
    text = [noise.randbytes(300_000).hex() for _ in range(3)]
    one = version.next_version(None, {"x": text[:2]}, "a", "1")
    two = version.next_version(one, {"x": text[1:]}, "a", "2")
    decoded = version.decode(version.encode(two))
    assert decoded.document_at(1) is None
    assert decoded.version_made_by("1") == 1
    large = version.next_version(None, {"x": text}, "a", "3")
    assert isinstance(version.encode(large), version.TooLarge)


@pytest.mark.parametrize("first", [None, builders_config.accepted()])
def test_a_change_is_applied_once(first):
    service = _service(first)
    applied = _run(service)
    assert applied.version == (2 if first else 1)
    assert _stored_version(service).identity == "mine"
    again = _run(service, identity="again")
    assert (again.version, again.edits) == (applied.version, delta.Edits())


@pytest.mark.parametrize(
    "faults",
    [
        ["down", "down"],
        [None, "down", "down", None, None],
        [None, "lost"],
        [None, "lost", "down"],
    ],
)
def test_an_outage_or_a_lost_answer_is_resolved_by_reading_again(faults):
    service = _service(builders_config.accepted())
    service.faults = faults
    assert _run(service).version == 2
    assert _stored_version(service).history[0].version == 1


def test_a_lost_answer_is_resolved_even_after_another_change():
    service = _service(builders_config.accepted())
    service.faults = [None, "lost"]
    get = service.get

    def get_after_another(key):
        if service.calls == 2:
            mine = _stored_version(service)
            later = _edited(mine, ratio=0.5)
            service.store(version.next_version(mine, later, "b", "b"))
        return get(key)

    service.get = get_after_another
    applied = _run(service)
    assert (applied.version, applied.current.version) == (2, 3)


def test_a_long_outage_leaves_the_outcome_unsettled():
    service = _service(builders_config.accepted())
    service.faults = [None, "lost"] + ["down"] * 20
    assert _run(service) == store.Unsettled("timeout", True)
    service.faults = ["down"] * 20
    assert _run(service) == store.Unsettled("timeout", False)


def test_the_second_of_two_concurrent_operators_gets_a_conflict():
    first = builders_config.accepted()
    service = _service(first)
    theirs = version.next_version(first, _edited(first, ratio=0.5), "b", "b")
    service.before_put = [lambda: service.store(theirs)]
    conflict = _run(service)
    assert not conflict
    assert conflict.since.paths == (("limits", "retry_budget_ratio"),)
    assert conflict.clashing == ()
    assert _stored_version(service) == theirs


def test_an_edit_of_other_paths_is_rebased_after_a_new_check():
    first = builders_config.accepted()
    service = _service(first)
    theirs = version.next_version(first, _edited(first, ratio=0.5), "b", "b")
    service.store(theirs)
    mine = _edited(first, 7)
    assert not _run(service, document=mine, expect=1)
    invalid = problems.Invalid(())
    refused = _run(
        service, lambda d: invalid, document=mine, expect=1, rebase=True
    )
    assert refused == invalid
    assert _stored_version(service) == theirs
    applied = _run(service, document=mine, expect=1, rebase=True)
    assert applied.edits.paths == (("limits", "adapters_in_transit"),)
    assert _stored_version(service).document == _edited(first, 7, 0.5)


def test_a_rebase_continues_when_another_change_lands_meanwhile():
    first = builders_config.accepted()
    service = _service(first)
    theirs = version.next_version(first, _edited(first, ratio=0.5), "b", "b")
    service.before_put = [lambda: service.store(theirs)]
    applied = _run(service, document=_edited(first, 7), expect=1, rebase=True)
    assert applied.version == 3


def test_clashing_edits_are_not_rebased():
    first = builders_config.accepted()
    service = _service(first)
    service.store(version.next_version(first, _edited(first, 5), "b", "b"))
    conflict = _run(service, document=_edited(first, 7), expect=1, rebase=True)
    assert conflict.clashing == (("limits", "adapters_in_transit"),)


def test_stale_files_do_not_revert_a_recent_change_by_default():
    first = builders_config.accepted()
    service = _service(first)
    theirs = version.next_version(first, _edited(first, ratio=0.5), "b", "b")
    service.store(theirs)
    conflict = _run(service, document=_edited(first, 7))
    assert conflict.clashing == (("limits", "retry_budget_ratio"),)
    assert _stored_version(service) == theirs
    assert _run(service, document=_edited(first, 7), expect=2).version == 3


def test_above_sets_a_lower_bound_for_the_new_version():
    assert _run(_service(None), above=57).version == 58


def test_an_unreadable_value_is_never_overwritten():
    service = builders_config.FakeService()
    _run(service)
    service.entry = service.entry._replace(value=b"x")
    assert isinstance(_run(service), store.MalformedValue)
    assert service.entry.value == b"x"
