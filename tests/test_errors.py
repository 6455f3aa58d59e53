"""Tests of the table of error kinds and of its reference page."""

from azureline.core import errors
from tools import errors_page


def test_every_kind_has_an_answer():
    assert set(errors.ANSWERS) == set(errors.ErrorKind)


def test_a_refusal_is_falsy_and_overrides_the_default_retry_after():
    refusal = errors.Refusal(
        errors.ErrorKind.OVERLOADED, "full", 7.0, errors.Ran.NO
    )
    assert not refusal
    assert refusal.answer.retry_after_s == 7.0
    assert refusal.counter == "refused.overloaded"


def test_only_retryable_statuses_have_a_retry_after():
    for kind, answer in errors.ANSWERS.items():
        is_retryable = answer.status in (429, 502, 503, 504)
        assert (answer.retry_after_s is not None) == is_retryable, kind


def test_the_reference_page_has_the_current_table():
    page = errors_page.PAGE.read_text()
    assert errors_page.render(page) == page
