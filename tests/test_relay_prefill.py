"""Tests of the queue of prompts at one engine."""

import pytest

from azureline.relay import health
from azureline.relay import prefill
from azureline.relay import requests


def _prompt(name="s1", tokens=9000, weights="m/"):
    shared = (
        requests.PromptPart("common", 2500),
        requests.PromptPart(name, 3800),
    )
    return prefill.Prompt(weights, tokens, shared)


def _book(cache_tokens=200000):
    return prefill.PrefillBook(38000.0, cache_tokens)


def test_a_prompt_waits_for_those_before_it():
    book = _book()
    assert book.reserve(_prompt(), 10.0) == 0.0
    assert book.reserve(_prompt("s2"), 10.0) == pytest.approx(9000 / 38000)
    assert book.backlog_s(20.0) == 0.0


def test_parts_that_were_read_are_not_read_again():
    book = _book()
    assert book.unread(_prompt()) == 9000
    book.reserve(_prompt(), 0.0)
    assert book.unread(_prompt()) == 9000 - 6300
    assert book.unread(_prompt("s2")) == 9000 - 2500


def test_another_model_or_adapter_shares_nothing():
    book = _book()
    book.reserve(_prompt(), 0.0)
    assert book.unread(_prompt(weights="m/a1")) == 9000


def test_the_memory_of_an_engine_is_bounded():
    book = _book(cache_tokens=15000)  # Nine thousand are counted on.
    for name in ("s1", "s2", "s3"):
        book.reserve(_prompt(name), 0.0)
    assert book.unread(_prompt("s3")) == 9000 - 6300
    assert book.unread(_prompt("s1")) > 9000 - 6300


def test_an_unloaded_model_is_forgotten():
    book = _book()
    book.reserve(_prompt(), 0.0)
    book.forget("m")
    assert book.unread(_prompt()) == 9000


def test_an_engine_that_begins_late_is_avoided_for_a_while():
    seen = health.Health()
    for _ in range(8):
        seen.note_first(("e1", 1), 3.0, 0.0)
    assert seen.penalty(("e1", 1), 0.0) > 3.0
    assert seen.penalty(("e1", 1), 20.0) == 1.0
