"""Tests of the counts of calls to servers that name a limit."""

from azureline.metrics import counters as metrics
from azureline.relay import send_counts
from azureline.relay import server_limits
from tests import builders_relay


class _Log:
    def __init__(self):
        self.lines = []

    def info(self, event, **fields):
        self.lines.append((event, fields))


def test_calls_to_a_limited_server_are_logged_by_kind():
    limits, log = server_limits.ServerLimits(), _Log()
    counters = metrics.Counters()
    counts = send_counts.SendCounts(limits, counters, log)
    limited, other = (builders_relay.server(name) for name in ("e1", "e2"))
    limits.named(limited.incarnation, 2.0, 10.0)
    for server in (limited, limited, other):
        counts.record(server, send_counts.Kind.REQUEST)
    counts.record(limited, send_counts.Kind.REPORT)
    counts.write_log(12.0)
    counts.write_log(13.0)
    ((event, fields),) = log.lines
    assert event == "server_sends"
    assert (fields["server"], fields["limit_per_s"]) == ("e1", 2.0)
    assert (fields["requests"], fields["reports"], fields["orders"]) == (
        2,
        1,
        0,
    )
    assert counters.get("sends.request") == 3
