"""Tests of the parsers and builders of the platform's formats."""

import json

import hypothesis
from hypothesis import strategies as st
import pytest

from azureline.platform import entries
from azureline.platform import orders as order_calls
from azureline.platform import requests as wire
from azureline.platform import site_config
from azureline.relay import orders
from azureline.relay import routes
from azureline.util import http1
from tests import builders_relay as builders

_ANY_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=6,
)


class TestEntries:
    def _decode(self, **fields):
        return entries.decode(
            "servers/i-1", builders.as_json(builders.entry_document(**fields))
        )

    def test_an_entry_is_decoded(self):
        entry = self._decode(
            born=1700000000123,
            at_hand={"in_memory": ["m1"], "on_disk": ["m1", "m2"]},
        )
        assert entry.server_id == "i-1"
        assert entry.address == http1.Address("10.128.0.9", 8080)
        assert entry.domain == "ub-north" and not entry.leaving
        assert entry.models[0].adapters == ("a1", "a2")
        assert entry.beat == 4 and entry.born_ms == 1700000000123
        assert entry.on_disk == ("m1", "m2")

    def test_a_draining_or_stopping_server_is_leaving(self):
        assert self._decode(state="draining").leaving
        assert self._decode(remaining_ms=1500).leaving

    @pytest.mark.parametrize(
        "name", ["service", "address", "zone", "slots", "state", "sequence"]
    )
    def test_an_entry_without_a_required_field_is_unreadable(self, name):
        document = builders.entry_document()
        del document[name]
        found = entries.decode("servers/i-1", builders.as_json(document))
        assert not found and name in found.where

    @hypothesis.given(
        st.sampled_from(sorted(builders.entry_document())), _ANY_JSON
    )
    def test_a_field_of_the_wrong_type_raises_no_error(self, name, value):
        found = self._decode(**{name: value})
        assert found or found.where.startswith("servers/i-1")

    @hypothesis.given(st.binary(max_size=40))
    def test_invalid_bytes_are_unreadable(self, value):
        assert not entries.decode("servers/x", value)
        assert not entries.decode_report(value)

    def test_a_report_is_decoded(self):
        report = entries.decode_report(
            builders.as_json(
                {
                    "models": [{"name": "m1", "version": 1, "adapters": []}],
                    "busy": True,
                    "sequence": 2,
                    "queued_reqs": 1,
                    "running_reqs": 12,
                    "coming": ["m1/a3@1"],
                }
            )
        )
        assert report.sequence == 2 and report.busy
        assert (report.running, report.queued) == (12, 1)
        assert report.coming == (("m1", "a3"),)


class TestOperator:
    def test_a_configuration_is_decoded(self):
        config = site_config.decode(builders.as_json(builders.site_document()))
        assert config.version == 7
        kinds = [route.kind for route in config.routes]
        assert kinds[0] is routes.Kind.STREAMING
        assert config.routes[1].resumable and config.routes[1].repeatable
        assert not config.routes[2].repeatable
        assert config.routes[2].timeout_s == 1.5
        engine = config.services["llm"].engine
        assert engine.models["m0"].disk_s == 0.3
        assert engine.adapter_places == 2
        assert config.services["ledger"].engine is None
        assert config.limits.idle_s == 15.0

    def test_split_traffic_is_decoded(self):
        route = builders.site_route("/s/", "idempotent", "", 1000)
        del route["service"]
        route["traffic_split"] = [
            {"service": "llm", "weight": 90},
            {"service": "ledger", "weight": 10},
        ]
        document = builders.site_document(routes=[route])
        config = site_config.decode(builders.as_json(document))
        assert [s.weight for s in config.routes[0].shares] == [90.0, 10.0]

    def test_an_invalid_value_is_reported_with_its_path(self):
        document = builders.site_document()
        document["routes"][2]["timeout_ms"] = "soon"
        found = site_config.decode(builders.as_json(document))
        assert not found and found.where == "routes[2].timeout_ms"

    @hypothesis.given(
        st.sampled_from(sorted(builders.site_document())), _ANY_JSON
    )
    def test_a_field_of_the_wrong_type_raises_no_error(self, name, value):
        document = builders.site_document(**{name: value})
        site_config.decode(builders.as_json(document))


class TestRequests:
    HEADERS = (
        (b"Host", b"Ficu95.example"),
        (b"Azureline-Request-Id", b"9c41"),
        (b"Azureline-Model", b"daka/a3"),
        (b"Azureline-Token-Usage", b"1460,80"),
        (b"Azureline-Prompt-Prefix", b"5c1e:800,91bd:410,e440:250"),
        (b"Azureline-Request-Deadline", b"5000"),
        (b"Azureline-Hold", b"h1"),
        (b"Connection", b"keep-alive, X-Hop, Azureline-Model"),
        (b"X-Hop", b"1"),
        (b"X-Other", b"2"),
    )

    def _request(self, headers=HEADERS):
        return wire.parse_request(b"POST", b"/a/b?q", headers, b"body")

    def test_a_request_is_decoded(self):
        request = self._request()
        assert request.request_id == "9c41" and request.path == "/a/b"
        assert (request.model, request.adapter) == ("daka", "a3")
        assert (request.prompt_tokens, request.output_tokens) == (1460, 80)
        assert [p.name for p in request.shared_parts] == ["5c1e", "91bd"]
        assert request.patience_s == 5.0
        assert request.host == "ficu95.example"

    def test_a_forwarded_request_has_the_right_headers(self):
        sent = wire.build_request(self._request(), 4.25, "i-7", 2)
        headers = dict(sent.headers)
        assert sent.method == b"POST" and sent.target == b"/a/b?q"
        assert headers[b"azureline-request-deadline"] == b"4250"
        assert headers[b"azureline-expect-instance"] == b"i-7"
        assert headers[b"azureline-request-priority"] == b"2"
        assert headers[b"azureline-model"] == b"daka/a3"
        assert headers[b"x-other"] == b"2"
        for dropped in (b"azureline-hold", b"x-hop", b"connection"):
            assert dropped not in headers

    def test_a_resumed_stream_has_a_last_event_id(self):
        sent = wire.build_request(self._request(), 1.0, "i-7", None, "12")
        assert dict(sent.headers)[b"last-event-id"] == b"12"

    def test_malformed_hints_count_as_absent(self):
        request = self._request(
            (
                (b"Azureline-Token-Usage", b"many"),
                (b"Azureline-Prompt-Prefix", b"x:y,:3,q"),
                (b"Azureline-Request-Deadline", b"-5"),
            )
        )
        assert request.patience_s is None and request.parts == ()
        assert request.prompt_tokens == 0

    def _reply(self, status, *headers):
        return wire.parse_answer_head(http1.Head(status, b"", headers), "9c41")

    def test_answers_that_report_that_the_request_did_not_run(self):
        assert self._reply(503, (b"azureline-not-executed", b"1")).not_run
        assert self._reply(421).not_run and self._reply(421).wrong_server
        assert not self._reply(503).not_run
        assert not self._reply(500).not_run

    def test_answers_to_other_requests_and_encoded_answers_are_detected(self):
        other = self._reply(200, (b"azureline-request-id", b"77"))
        assert not other.matches_request
        assert self._reply(
            200, (b"azureline-request-id", b"9c41")
        ).matches_request
        assert self._reply(200, (b"content-encoding", b"gzip")).encoded
        assert not self._reply(200).sealed

    def test_hop_by_hop_headers_are_not_forwarded(self):
        head = http1.Head(
            200,
            b"OK",
            (
                (b"connection", b"close"),
                (b"keep-alive", b"timeout=5"),
                (b"azureline-server-seal", b"s"),
                (b"transfer-encoding", b"chunked"),
            ),
        )
        assert wire.forwarded_headers(head) == (
            (b"azureline-server-seal", b"s"),
        )


class TestOrders:
    def test_an_order_is_encoded(self):
        order = orders.Order(orders.Verb.LOAD, "daka", "a3", 2)
        address = http1.Address("10.0.0.1", 80)
        sent = order_calls.encode(order, "i-1", "node-7", 41, address)
        assert json.loads(sent.body) == {
            "op": "load",
            "model": "daka",
            "adapter": "a3",
            "expected": 2,
            "holder": "node-7",
            "fencing_token": 41,
        }
        assert (b"azureline-expect-instance", b"i-1") in sent.headers

    @pytest.mark.parametrize(
        ("status", "outcome"),
        [
            (202, orders.Outcome.ACCEPTED),
            (200, orders.Outcome.HOLDS),
            (409, orders.Outcome.OUT_OF_TURN),
            (412, orders.Outcome.OUTBID),
            (400, orders.Outcome.INVALID),
            (421, orders.Outcome.OTHER_SERVER),
            (500, orders.Outcome.UNKNOWN),
        ],
    )
    def test_the_status_of_an_answer_gives_the_outcome(self, status, outcome):
        answer = http1.Answer(http1.Head(status, b"", ()), b"")
        assert order_calls.parse_outcome(answer) is outcome

    def test_a_failed_call_has_an_unknown_outcome(self):
        failed = http1.Failure("timeout", sent=True)
        assert order_calls.parse_outcome(failed) is orders.Outcome.UNKNOWN
