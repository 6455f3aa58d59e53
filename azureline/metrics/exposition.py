"""Serves counters and histograms in the Prometheus text format."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import Any

import prometheus_client
from prometheus_client import core
from twisted.web import http

from azureline.metrics import counters as counters_lib
from azureline.util import http_service
from azureline.util import memory_body

# Upper bounds of latency buckets in seconds.  The latency targets are between
# 0.3 s and 4 s.
_BUCKETS = (0.02, 0.05, 0.1, 0.2, 0.3, 0.6, 1.0, 2.0, 4.0, 8.0, 16.0)


class Exposition:
    """Prometheus collector of a node's counters and histograms.

    Attributes:
      first_byte_time: histogram of the seconds to the first byte of an answer.
      answer_time: histogram of the seconds to the end of an answer.
    """

    def __init__(self, counters: counters_lib.Counters):
        """Creates the collector with its own registry.

        Args:
          counters: the node's counters.
        """
        self._counters = counters
        self._registry = prometheus_client.CollectorRegistry()
        self._registry.register(self)
        self.first_byte_time = self._histogram(
            "first_byte_seconds", "From a request to the first of its answer"
        )
        self.answer_time = self._histogram(
            "answer_seconds", "From a request to the end of its answer"
        )

    def collect(self) -> Iterator[Any]:
        """Yields a metric family for each first part of the counters' names.

        A counter "refused.overloaded" is in the family "azureline_refused" with
        the label reason="overloaded".
        """
        families: dict[str, Any] = {}
        for name, count in self._counters.with_prefix("").items():
            family, _, reason = name.partition(".")
            if family not in families:
                families[family] = core.CounterMetricFamily(
                    f"azureline_{family}",
                    f"Events of the kind {family}",
                    labels=["reason"],
                )
            families[family].add_metric([reason], count)
        yield from families.values()

    def text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def _histogram(self, name: str, documentation: str) -> Any:
        return prometheus_client.Histogram(
            f"azureline_{name}",
            documentation,
            ["route"],
            buckets=_BUCKETS,
            registry=self._registry,
        )


def make_factory(
    exposition: Exposition,
    pages: Mapping[str, Callable[[dict[str, str]], tuple[int, bytes]]],
) -> http_service.Factory:
    """Returns the Twisted factory of connections that serve the metrics.

    Args:
      exposition: the metrics, served at every path without a page.
      pages: by path, functions that take a query and return a status and JSON.
    """

    class _Request(memory_body.MemoryBody, http.Request):
        def max_body_bytes(self) -> int:
            return 0

        def process(self) -> None:
            page = pages.get(self.path.decode("latin-1"))
            if page is None:
                self.setHeader(b"content-type", b"text/plain; version=0.0.4")
                self.write(exposition.text())
            else:
                query = {
                    name.decode("utf-8", "replace"): values[0].decode(
                        "utf-8", "replace"
                    )
                    for name, values in self.args.items()
                }
                status, body = page(query)
                self.setResponseCode(status)
                self.setHeader(b"content-type", b"application/json")
                self.write(body)
            self.finish()

    return http_service.Factory(_Request)
