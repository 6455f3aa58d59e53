"""Tests of prompts with a part that crashes the engines that run them."""

import pytest

from tests import builders_prompt_parts as builders
from tests import builders_site

pytestmark = pytest.mark.processes

ENGINES = (("m0", "m1"),) * 8


@pytest.fixture
def site():
    with builders_site.running(engines=ENGINES) as running:
        yield running


@pytest.mark.parametrize(
    ("per_s", "parts"), [(3.0, 1), (0.8, 1), (8.0, 2)], ids=str
)
def test_a_part_that_crashed_five_engines_is_not_sent_on_by_any_node(
    site, per_s, parts
):
    result = builders.play(site, builders.Play(per_s=per_s, parts=parts))
    figures = result._replace(sent=[])
    assert result.crashes >= 2, figures
    assert max(result.late.values()) <= builders.MAX_LATE_ARRIVALS, figures
    least = builders.MIN_SOUND_SHARE * result.sound_before
    assert result.sound_before >= 0.9, figures
    assert result.sound_after >= least, figures
