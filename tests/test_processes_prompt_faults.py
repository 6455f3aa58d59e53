"""Tests of parts of prompts that crash engines, beside other faults."""

import pytest

from tests import builders_prompt_parts as builders
from tests import builders_site

pytestmark = pytest.mark.processes


@pytest.fixture
def site():
    with builders_site.running(engines=builders.ENGINES) as running:
        yield running


@pytest.mark.parametrize("after_s", [0.5, 6.0])
@pytest.mark.parametrize(
    "disturb", [builders.restart_all_nodes, builders.suspend_a_node]
)
def test_a_part_that_crashed_engines_stays_refused_through_a_disturbance(
    site, disturb, after_s
):
    what = builders.Play(
        per_s=4.0, parts=2, lasts_s=22.0, disturbed_after_s=after_s
    )
    builders.check(builders.play(site, what, disturb))


def test_a_part_that_crashed_two_engines_long_ago_is_not_forgotten(site):
    what = builders.Play(per_s=2.5, pause_s=8.0, lasts_s=22.0)
    builders.check(builders.play(site, what))
