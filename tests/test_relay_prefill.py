"""Tests of the queue of prompts at one engine."""

import heapq
import random

import pytest

from azureline.relay import health
from azureline.relay import prefill
from azureline.relay import requests
from tests import builders_engine


def _prompt(name="s1", tokens=9000, weights="m/"):
    shared = (
        requests.PromptPart("common", 2500),
        requests.PromptPart(name, 3800),
    )
    return prefill.Prompt(weights, tokens, shared)


def _book(cache_tokens=200000):
    return prefill.PrefillBook(38000.0, cache_tokens)


def test_prompts_of_one_run_are_sent_at_once():
    book = _book()
    first = _prompt(tokens=6000)
    assert book.reserve(first, 10.0) == 0.0
    second = _prompt("s2", tokens=6000)
    assert book.wait_s(second, 10.0) == pytest.approx(6000 / 38000 * 1.2)
    assert book.reserve(second, 10.0) == 0.0
    assert book.wait_s(second, 20.0) == 0.0


def test_a_prompt_that_would_make_a_run_too_long_waits_for_a_break():
    book = _book()
    book.reserve(_prompt(tokens=6500), 10.0)
    read_s = 6500 / 38000 * 1.2
    late = _prompt("s2", tokens=11000)
    assert book.reserve(late, 10.0) == pytest.approx(read_s + 0.03)


def test_a_prompt_that_joins_a_run_to_come_is_held_back_until_it_begins():
    book = _book()
    book.reserve(_prompt(tokens=6000), 0.0)
    begins_s = book.reserve(_prompt("s2", tokens=9500), 0.0)
    assert begins_s == pytest.approx(6000 / 38000 * 1.2 + 0.03)
    assert book.reserve(_prompt("s3", tokens=4500), 0.0) == begins_s


def test_a_short_prompt_never_waits():
    book = _book()
    for name in ("s1", "s2", "s3"):
        book.reserve(_prompt(name), 0.0)
    short = prefill.Prompt("m/a1", 600, ())
    assert book.reserve(short, 0.0) == 0.0


def test_a_model_that_is_read_faster_is_given_prompts_sooner():
    paces, book = prefill.Paces(), _book()
    assert paces.of("e1", "m", 0.0) == 0.0
    for _ in range(8):
        paces.note("e1", "m", 0.2, 0.072, 0.0)
    assert paces.of("e1", "m", 60.0) == pytest.approx(0.3, rel=0.05)
    assert paces.of("e2", "m", 0.0) == 0.0
    known = _prompt()._replace(pace=paces.of("e1", "m", 0.0))
    book.reserve(known, 0.0)
    read_s = 9000 / 38000 * 0.3
    assert book.wait_s(_prompt("s2"), 0.0) == pytest.approx(read_s, rel=0.05)


def test_one_slow_answer_counts_little():
    paces = prefill.Paces()
    for _ in range(8):
        paces.note("e1", "m", 0.2, 0.252, 0.0)
    paces.note("e1", "m", 0.2, 5.0, 0.0)
    assert paces.of("e1", "m", 0.0) < 2.0


def test_a_slow_engine_is_not_taken_to_be_slow_for_long():
    paces, book = prefill.Paces(), _book()
    for _ in range(6):
        paces.note("e1", "m", 0.2, 1.6, 10.0)
    pace = paces.of("e1", "m", 11.0)
    assert pace > 6.0
    book.reserve(_prompt()._replace(pace=pace), 11.0)
    assert book.wait_s(_prompt("s2"), 11.0) > 1.0
    # It may have recovered; no answer has come from it since.
    assert paces.of("e1", "m", 14.0) == 0.0
    book.reserve(_prompt("s8"), 30.0)
    assert book.wait_s(_prompt("s9"), 30.0) < 0.4


def _long_prompts(seed):
    """Returns (second, tokens): three fifths of what an engine can read."""
    rng = random.Random(seed)
    at, found = 0.0, []
    while at < 60.0:
        at += rng.expovariate(2.5)
        found.append((at, rng.randint(3000, 12000)))
    return found


@pytest.mark.parametrize("seed", range(4))
def test_streams_do_not_pause_while_long_prompts_are_read(seed):
    """At this load callers find streams late that pause for 0.6 s."""
    load = _long_prompts(seed)
    assert builders_engine.longest_pause(load) > 0.6
    book = prefill.PrefillBook(builders_engine.TOKENS_PER_S, 200000)
    spaced, waits = [], []
    asking = [(at, at, tokens) for at, tokens in load]
    heapq.heapify(asking)
    while asking:
        now, began, tokens = heapq.heappop(asking)
        prompt = prefill.Prompt("m/", tokens, ())
        if book.wait_s(prompt, now) > 0.2:  # Refused: asks again soon.
            heapq.heappush(asking, (now + 0.05, began, tokens))
            continue
        sent_at = now + book.reserve(prompt, now)
        spaced.append((sent_at, tokens))
        waits.append(sent_at - began)
    assert builders_engine.longest_pause(spaced) < 0.6
    assert sum(waits) / len(waits) < 0.5


def test_a_prompt_is_held_back_for_a_bounded_time():
    book = _book()
    for name in "abcdefgh":
        book.reserve(_prompt(name), 0.0)
    assert book.wait_s(_prompt("s9"), 0.0) > 1.0
    assert book.reserve(_prompt("s9"), 0.0) == 0.25


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


def test_the_share_of_reading_follows_the_prompts_and_fades():
    book = _book()
    assert book.share(5.0) == 0.0
    # Two prompts a second.
    for turn in range(40):
        book.reserve(_prompt(f"s{turn}", tokens=6000), turn * 0.5)
    read_s = 6000 / 38000 * 1.2 * (3500 / 6000)  # The common part is kept.
    assert book.share(20.0) == pytest.approx(2 * read_s, rel=0.2)
    assert book.share(26.0) < 0.1 * book.share(20.0)
