"""Entries of other writers among those of the engines, as text."""

import json
from typing import Any

from tests import builders_relay

DIGITS = "7" * 401


def _entry(**fields: Any) -> str:
    return json.dumps(builders_relay.entry_document(**fields))


def _raw(name: str, value: str) -> str:
    """Returns an entry with a field in a form that `json` would not write."""
    return _entry(**{name: "@"}).replace('"@"', value)


def _nested(depth: int) -> str:
    return "[" * depth + "]" * depth


ODD_ENTRIES = {
    "nothing": "",
    "not json": "\x00\x01",
    "a number": "7",
    "null": "null",
    "deep": _nested(100_000),
    "deep state": _raw("state", _nested(900)),
    "deep models": _raw("models", _nested(900)),
    "deep adapters": _raw(
        "models",
        '[{"name": "m0", "version": 1, "adapters": ' + _nested(900) + "}]",
    ),
    "deep at_hand": _raw("at_hand", '{"on_disk": ' + _nested(900) + "}"),
    "slots of many digits": _raw("slots", DIGITS),
    "sequence of many digits": _raw("sequence", DIGITS),
    "born of many digits": _raw("born", DIGITS),
    "very many digits": _raw("born", "7" * 5000),
    "weights version of many digits": _raw(
        "models", '[{"name": "m0", "version": ' + DIGITS + ', "adapters": []}]'
    ),
    "infinite weights version": _raw(
        "models", '[{"name": "m0", "version": 1e999, "adapters": []}]'
    ),
    "superscript port": _entry(address="127.0.0.1:\u00b2"),
    "other digits": _entry(address="127.0.0.1:\u0668\u0660\u0668\u0660"),
    "long port": _entry(address="127.0.0.1:" + "8" * 5000),
    "port out of range": _entry(address="127.0.0.1:70000"),
    "port zero": _entry(address="127.0.0.1:0"),
    "no port": _entry(address="127.0.0.1"),
    "line break": _entry(address="127.0.0.1\r\nx: y:8080"),
    "name": _entry(address="localhost:8080"),
    "octet out of range": _entry(address="127.0.0.300:8080"),
    "other digits in the host": _entry(address="\u0661.0.0.1:8080"),
    "unknown state": _entry(state="resting"),
    "state is a list": _entry(state=[]),
    "service is a number": _entry(service=7),
    "no zone": _entry(zone=None),
    "no version": _entry(version=None),
    "half a character": _entry(version="\ud800"),
    "half a character in a service": _entry(service="\ud800"),
    "half a character in a model": _raw(
        "models", '[{"name": "\\ud800", "version": 1, "adapters": []}]'
    ),
    "half a character in an adapter": _raw(
        "models", '[{"name": "m0", "version": 1, "adapters": ["\\ud800"]}]'
    ),
    "long version": _entry(version="v" * 100_000),
}
# Such entries are read without an error; what is odd in them is left out.
READABLE = {
    "deep at_hand",
    "infinite weights version",
    "deep adapters",
    "weights version of many digits",
    "half a character in an adapter",
}
