"""Tests of metrics as text."""

from azureline.metrics import counters as counters_lib
from azureline.metrics import exposition


def test_counters_are_families_with_their_reasons():
    counters = counters_lib.Counters()
    counters.count("refused.no_replica", 2)
    counters.count("refused.overloaded")
    shown = exposition.Exposition(counters)
    shown.whole.labels("r-1").observe(0.25)
    text = shown.text().decode()
    assert 'azureline_refused_total{reason="no_replica"} 2.0' in text
    assert 'azureline_refused_total{reason="overloaded"} 1.0' in text
    assert 'azureline_answer_seconds_bucket{le="0.3",route="r-1"} 1.0' in text
