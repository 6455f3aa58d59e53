"""Entries of other writers name no engine and end no reader."""

import pytest

from azureline.core import wire
from azureline.platform import entries
from azureline.platform import requests as wire_requests
from azureline.platform import site_config
from azureline.relay import messages
from azureline.relay import stream_events
from azureline.util import http1
from tests import builders_odd_entries as builders


@pytest.mark.parametrize("name", builders.ODD_ENTRIES)
def test_an_odd_entry_names_no_engine(name):
    text = builders.ODD_ENTRIES[name]
    entry = entries.decode("servers/odd", text.encode("utf-8", "surrogatepass"))
    if name in builders.READABLE:
        assert not isinstance(entry, site_config.InvalidDocument)
        repr(entry).encode()
    else:
        assert isinstance(entry, site_config.InvalidDocument)


@pytest.mark.parametrize("name", builders.ODD_ENTRIES)
def test_an_odd_report_is_no_error(name):
    entries.decode_report(builders.ODD_ENTRIES[name].encode())


@pytest.mark.parametrize(
    "value", [b"\xb2", b"7" * 5000, b"-1", b"", b"1.5", b"\xd9\xa3"]
)
def test_odd_numbers_of_callers_count_as_absent(value):
    headers = [
        (b"azureline-request-deadline", value),
        (b"azureline-token-usage", value + b"," + value),
        (b"azureline-prompt-prefix", b"a:" + value),
        (b"last-event-id", value),
    ]
    request = wire_requests.parse_request(b"GET", b"/", headers, b"")
    assert request.patience_s is None
    assert (request.prompt_tokens, request.output_tokens) == (0, 0)
    assert request.parts == ()
    assert stream_events.EventReader(request.last_event).last_event == ""


def test_an_odd_event_id_is_no_error():
    reader = stream_events.EventReader("")
    for value in (b"\xc2\xb2", b"7" * 5000):
        assert not reader.feed(b"id: " + value + b"\ndata: x\n\n").fault


def test_a_configuration_that_cannot_be_read_is_no_error():
    deep = b"[" * 100_000 + b"]" * 100_000
    route = b'{"version": 1, "routes": [{"name": "r", "timeout_ms": %s}]}'
    for data in (
        deep,
        route % (b"7" * 401),
        b"\xff",
        b'{"version": "\\ud800"}',
    ):
        found = site_config.decode(data)
        assert isinstance(found, site_config.InvalidDocument)


@pytest.mark.parametrize(
    "data", [b"\x91\x80", b"\x91\x91\x01", b"\x93\x0b\x01", b"\x92\x0b\xa1x"]
)
def test_a_datagram_of_other_types_is_malformed(data):
    with pytest.raises(wire.MalformedError):
        messages.codec().unpack(data)


def test_an_odd_keep_alive_is_no_error():
    assert http1.idle_limit_s(b"timeout=" + b"7" * 5000) is None
    assert http1.idle_limit_s(b"timeout=\xb2") is None
