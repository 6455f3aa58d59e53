"""Tests of the metrics in the Prometheus text format."""

from azureline.metrics import counters as counters_lib
from azureline.metrics import exposition


def test_counters_are_grouped_into_families_labelled_by_reason():
    counters = counters_lib.Counters()
    counters.count("refused.no_replica", 2)
    counters.count("refused.overloaded")
    exposed = exposition.Exposition(counters)
    exposed.answer_time.labels("r-1").observe(0.25)
    text = exposed.text().decode()
    assert 'azureline_refused_total{reason="no_replica"} 2.0' in text
    assert 'azureline_refused_total{reason="overloaded"} 1.0' in text
    assert 'azureline_answer_seconds_bucket{le="0.3",route="r-1"} 1.0' in text
