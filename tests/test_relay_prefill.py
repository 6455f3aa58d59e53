"""Tests of the prompt queue and prefix cache of one engine."""

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


def _queue(cache_tokens=200000):
    return prefill.PrefillQueue(38000.0, cache_tokens)


def test_prompts_of_one_run_are_sent_without_delay():
    queue = _queue()
    first = _prompt(tokens=6000)
    assert queue.reserve(first, 10.0) == 0.0
    second = _prompt("s2", tokens=6000)
    assert queue.wait_s(second, 10.0) == pytest.approx(6000 / 38000 * 1.2)
    assert queue.reserve(second, 10.0) == 0.0
    assert queue.wait_s(second, 20.0) == 0.0


def test_a_prompt_that_would_make_a_run_too_long_waits_for_a_break():
    queue = _queue()
    queue.reserve(_prompt(tokens=6500), 10.0)
    read_s = 6500 / 38000 * 1.2
    late = _prompt("s2", tokens=11000)
    assert queue.reserve(late, 10.0) == pytest.approx(read_s + 0.03)


def test_a_prompt_that_joins_a_later_run_is_held_back_until_it_begins():
    queue = _queue()
    queue.reserve(_prompt(tokens=6000), 0.0)
    begins_s = queue.reserve(_prompt("s2", tokens=9500), 0.0)
    assert begins_s == pytest.approx(6000 / 38000 * 1.2 + 0.03)
    assert queue.reserve(_prompt("s3", tokens=4500), 0.0) == begins_s


def test_a_short_prompt_never_waits():
    queue = _queue()
    for name in ("s1", "s2", "s3"):
        queue.reserve(_prompt(name), 0.0)
    short = prefill.Prompt("m/a1", 600, ())
    assert queue.reserve(short, 0.0) == 0.0


def test_a_model_with_faster_reads_gets_its_prompts_sooner():
    ratios, queue = prefill.ReadTimeRatios(), _queue()
    assert ratios.get("e1", "m", 0.0) == 0.0
    for _ in range(8):
        ratios.record("e1", "m", 0.2, 0.072, 0.0)
    assert ratios.get("e1", "m", 60.0) == pytest.approx(0.3, rel=0.05)
    assert ratios.get("e2", "m", 0.0) == 0.0
    measured = _prompt()._replace(read_time_ratio=ratios.get("e1", "m", 0.0))
    queue.reserve(measured, 0.0)
    read_s = 9000 / 38000 * 0.3
    assert queue.wait_s(_prompt("s2"), 0.0) == pytest.approx(read_s, rel=0.05)


def test_one_slow_answer_changes_the_ratio_little():
    ratios = prefill.ReadTimeRatios()
    for _ in range(8):
        ratios.record("e1", "m", 0.2, 0.252, 0.0)
    ratios.record("e1", "m", 0.2, 5.0, 0.0)
    assert ratios.get("e1", "m", 0.0) < 2.0


def test_the_ratio_of_a_slow_engine_expires():
    ratios, queue = prefill.ReadTimeRatios(), _queue()
    for _ in range(6):
        ratios.record("e1", "m", 0.2, 1.6, 10.0)
    ratio = ratios.get("e1", "m", 11.0)
    assert ratio > 6.0
    queue.reserve(_prompt()._replace(read_time_ratio=ratio), 11.0)
    assert queue.wait_s(_prompt("s2"), 11.0) > 1.0
    # Without a new answer the ratio expires: the engine may have recovered.
    assert ratios.get("e1", "m", 14.0) == 0.0
    queue.reserve(_prompt("s8"), 30.0)
    assert queue.wait_s(_prompt("s9"), 30.0) < 0.4


def _long_prompts(seed):
    """Returns (second, tokens) pairs that keep an engine 60 % busy reading."""
    rng = random.Random(seed)
    at, prompts = 0.0, []
    while at < 60.0:
        at += rng.expovariate(2.5)
        prompts.append((at, rng.randint(3000, 12000)))
    return prompts


@pytest.mark.parametrize("seed", range(4))
def test_streams_do_not_pause_while_long_prompts_are_read(seed):
    """Guards against streams that pause for 0.6 s, which callers count as late.

    They pause that long when an engine reads the prompts as they arrive.
    """
    prompts = _long_prompts(seed)
    assert builders_engine.longest_event_gap_s(prompts) > 0.6
    queue = prefill.PrefillQueue(builders_engine.TOKENS_PER_S, 200000)
    spaced, waits = [], []
    pending = [(at, at, tokens) for at, tokens in prompts]
    heapq.heapify(pending)
    while pending:
        now, began, tokens = heapq.heappop(pending)
        prompt = prefill.Prompt("m/", tokens, ())
        if queue.wait_s(prompt, now) > 0.2:  # Refused: retries soon.
            heapq.heappush(pending, (now + 0.05, began, tokens))
            continue
        sent_at = now + queue.reserve(prompt, now)
        spaced.append((sent_at, tokens))
        waits.append(sent_at - began)
    assert builders_engine.longest_event_gap_s(spaced) < 0.6
    assert sum(waits) / len(waits) < 0.5


def test_a_prompt_is_held_back_for_a_bounded_time():
    queue = _queue()
    for name in "abcdefgh":
        queue.reserve(_prompt(name), 0.0)
    assert queue.wait_s(_prompt("s9"), 0.0) > 1.0
    assert queue.reserve(_prompt("s9"), 0.0) == 0.25


def test_cached_parts_are_not_read_again():
    queue = _queue()
    assert queue.uncached_tokens(_prompt()) == 9000
    queue.reserve(_prompt(), 0.0)
    assert queue.uncached_tokens(_prompt()) == 9000 - 6300
    assert queue.uncached_tokens(_prompt("s2")) == 9000 - 2500


def test_models_and_adapters_share_no_cache():
    queue = _queue()
    queue.reserve(_prompt(), 0.0)
    assert queue.uncached_tokens(_prompt(weights="m/a1")) == 9000


def test_the_cache_of_an_engine_is_bounded():
    queue = _queue(cache_tokens=15000)  # 60 % of them are used.
    for name in ("s1", "s2", "s3"):
        queue.reserve(_prompt(name), 0.0)
    assert queue.uncached_tokens(_prompt("s3")) == 9000 - 6300
    assert queue.uncached_tokens(_prompt("s1")) > 9000 - 6300


def test_an_unloaded_model_is_removed_from_the_cache():
    queue = _queue()
    queue.reserve(_prompt(), 0.0)
    queue.evict_model("m")
    assert queue.uncached_tokens(_prompt()) == 9000


def test_the_penalty_of_an_engine_that_begins_late_decays():
    recorded = health.ServerHealth()
    for _ in range(8):
        recorded.record_first_part(("e1", 1), 3.0, 0.0)
    assert recorded.penalty(("e1", 1), 0.0) > 3.0
    assert recorded.penalty(("e1", 1), 20.0) == 1.0


def test_the_share_of_reading_follows_the_prompts_and_decays():
    queue = _queue()
    assert queue.reading_ratio(5.0) == 0.0
    # Two prompts a second.
    for number in range(40):
        queue.reserve(_prompt(f"s{number}", tokens=6000), number * 0.5)
    read_s = 6000 / 38000 * 1.2 * (3500 / 6000)  # The common part is cached.
    assert queue.reading_ratio(20.0) == pytest.approx(2 * read_s, rel=0.2)
    assert queue.reading_ratio(26.0) < 0.1 * queue.reading_ratio(20.0)
