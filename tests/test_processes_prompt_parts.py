"""Tests of prompts with a part that crashes the engines that run them."""

import pytest

from tests import builders_prompt_parts as builders
from tests import builders_site

pytestmark = pytest.mark.processes


@pytest.fixture
def site():
    with builders_site.running(engines=builders.ENGINES) as running:
        yield running


@pytest.mark.parametrize(
    ("per_s", "parts"), [(3.0, 1), (0.8, 1), (8.0, 2)], ids=str
)
def test_a_part_that_crashed_five_engines_is_not_sent_on_by_any_node(
    site, per_s, parts
):
    builders.check(builders.play(site, builders.Play(per_s=per_s, parts=parts)))
