"""Tests of defaults and of the typed forms of documents."""

import typing

from hypothesis import given
from hypothesis import strategies as st
import pytest

from azureline.config import defaults
from azureline.config import jsonc
from azureline.config import reader
from azureline.config import schema
from azureline.config import structure
from tests import builders_config
from tools import settings_page


def _options(cls, default):
    """Yields each class of the schema with its object in the defaults."""
    yield cls, default
    for name, hint in typing.get_type_hints(cls).items():
        if hasattr(hint, "_fields"):
            yield from _options(hint, default[name])
        elif typing.get_origin(hint) is dict:
            yield from _options(typing.get_args(hint)[1], default[name]["*"])


@pytest.mark.parametrize(
    ("kind", "cls"),
    [
        ("node", schema.NodeSettings),
        ("configuration", schema.Configuration),
    ],
)
def test_the_shipped_defaults_list_every_option_in_order(kind, cls):
    for part, default in _options(cls, defaults.load()[kind]):
        assert tuple(default) == part._fields


def test_a_configuration_converts_to_plain_form_and_back():
    configuration = builders_config.configuration()
    plain = structure.plain(configuration)
    assert structure.typed(schema.Configuration, plain) == configuration
    assert defaults.complete(plain, "configuration") == plain


@pytest.mark.parametrize(
    ("path", "value", "message"),
    [
        (("port",), "80", "port: expected a whole number, not '80'"),
        (("port",), 0, "port: must be at least 1"),
        (("platform", "timeout_s"), 0, "platform.timeout_s: must be above 0"),
        (("seeds",), ["x"], "seeds[0]: 'x' is not IP:PORT"),
        (("seeds",), "x", "seeds: expected a list"),
        (("log",), 3, "log: expected an object"),
        (("statsd", "prefix"), True, "statsd.prefix: expected a string"),
        (("log", "level"), "loud", "log.level: 'loud' is not one of 'debug'"),
    ],
)
def test_an_invalid_value_is_reported_with_its_path(path, value, message):
    document = structure.plain(builders_config.node_settings())
    inner = document
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = value
    invalid = structure.typed(schema.NodeSettings, document)
    assert [str(p)[: len(message)] for p in invalid.problems] == [message]


def test_unknown_and_missing_options_are_reported_together():
    invalid = defaults.complete(
        {"name": "x", "host": "::1", "timeouts": {"conect_s": 1}}, "node"
    )
    assert [str(problem) for problem in invalid.problems] == [
        "timeouts.conect_s: unknown option; did you mean 'connect_s'?",
        "domain: this option must be given",
        "platform.url: this option must be given",
    ]


def test_a_node_accepts_a_document_with_options_of_a_newer_version():
    document = builders_config.document(unknown={"x": 1})
    document["models"]["model-0"]["unknown"] = 1
    read = reader.Reader().read(document)
    assert read == builders_config.configuration()
    assert not defaults.complete(document, "configuration")


@given(
    st.lists(
        st.tuples(
            st.sampled_from(("models", "adapters", "engines")),
            st.sampled_from(("x", "y", "z")),
            st.integers(0, 3),
        ),
        max_size=8,
    )
)
def test_a_reader_that_reuses_entries_matches_a_new_reader(changes):
    document = structure.plain(builders_config.configuration())
    reusing = reader.Reader()
    for section, name, number in changes:
        first = next(iter(document[section].values()))
        entries = dict(document[section])
        entries.pop(name, None)
        if number:
            entries[name] = first | {"memory_bytes": number}
        document = document | {section: entries}
        assert reusing.read(document) == reader.Reader().read(document)
    broken = document | {"engines": {"x": {"role": "none"}}}
    assert not reusing.read(broken)
    assert reusing.read(document) == reader.Reader().read(document)


def test_sizes_are_parsed_with_units():
    document = builders_config.document()
    document["models"]["model-0"]["memory_bytes"] = "1.5 GiB"
    document["models"]["model-1"]["memory_bytes"] = "many"
    completed = defaults.complete(document, "configuration")
    invalid = structure.typed(schema.Configuration, completed)
    assert [p.path for p in invalid.problems] == [
        ("models", "model-1", "memory_bytes")
    ]
    assert structure.parse_size("1.5 GiB") == 3 * 2**29


def test_the_longest_matching_route_decides_whether_a_call_may_be_repeated():
    routes = [
        schema.Route("GET", "/lots", True),
        schema.Route("*", "/lots/locked", False),
    ]
    service = schema.Service("ledger", ["ledger-*", "x"], False, routes)
    assert service.is_idempotent("GET", "/lots/7")
    assert not service.is_idempotent("GET", "/lots/locked/7")
    assert not service.is_idempotent("POST", "/lots/7")
    assert service.is_served_by("ledger-9")
    assert not service.is_served_by("x2")


def test_comments_are_skipped_and_lines_recorded():
    source = jsonc.parse('// head\n{"a": [1, /* x\n*/ 2,],\n "b": {}}', "f")
    assert source.value == {"a": [1, 2], "b": {}}
    assert source.lines[("a", 1)] == 3
    assert source.lines[("b",)] == 4


def test_the_settings_reference_lists_every_option():
    page = settings_page.PAGE.read_text("utf-8")
    assert settings_page.render(page) == page
    assert "| `models.NAME.min_replicas` | `1` |" in page
