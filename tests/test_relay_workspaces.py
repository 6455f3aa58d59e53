"""Tests of workspaces and the API keys of their callers."""

import random

import hypothesis
from hypothesis import strategies as st
import pytest

from azureline.core import errors
from azureline.platform import requests as wire
from azureline.platform import site_config
from azureline.relay import routes
from azureline.relay import workspaces
from tests import builders_relay

_TENANTS = [
    {"name": "w1", "api_keys": ["k1", "k2"], "priority": 3, "rate_per_s": 9},
    {"name": "w2", "api_keys": ["k3"]},
]


def _table(version=7, tenants=_TENANTS):
    table = routes.RouteTable(random.Random(1))
    _change(table, version, tenants)
    return table


def _change(table, version, tenants):
    document = builders_relay.site_document(version, tenants=tenants)
    config = site_config.decode(builders_relay.as_json(document))
    assert table.put_in_force(config)


def _route(**fields):
    return builders_relay.route(rank=1, **fields)


def test_a_key_selects_the_workspace_and_its_rank():
    table = _table()
    assert table.admit(_route(), "k2") == routes.Admitted(
        _route()._replace(rank=3), "w1"
    )
    assert table.admit(_route(), "k3") == routes.Admitted(_route(), "w2")


@pytest.mark.parametrize("key", ["", "k", "k1,k1", "K1", "k1 "])
def test_an_unknown_key_is_refused(key):
    refusal = _table().admit(_route(), key)
    assert refusal.kind is errors.ErrorKind.UNAUTHENTICATED
    assert refusal.answer.status == 401


def test_a_public_route_needs_no_key():
    admitted = _table().admit(_route(public=True), "")
    assert admitted.workspace == ""


def test_without_workspaces_callers_need_no_key():
    assert _table(tenants=[]).admit(_route(), "k").workspace is None


def test_a_new_configuration_version_replaces_the_keys():
    table = _table()
    _change(table, 8, [{"name": "w1", "api_keys": ["k9"]}])
    assert table.admit(_route(), "k9").workspace == "w1"
    assert not table.admit(_route(), "k1")


def test_servers_receive_the_workspace_but_not_the_key():
    headers = [
        (b"X-Api-Key", b"k1"),
        (b"Azureline-Tenant", b"forged"),
        (b"Accept", b"*/*"),
    ]
    request = wire.parse_request(b"GET", b"/a/", headers, b"")
    assert request.key == "k1"
    sent = dict(wire.build_request(request, 1.0, "i-1", workspace="w1").headers)
    assert sent[b"azureline-tenant"] == b"w1" and b"x-api-key" not in sent
    public = dict(wire.build_request(request, 1.0, "i-1", workspace="").headers)
    assert b"azureline-tenant" not in public and b"x-api-key" not in public
    assert public[b"accept"] == b"*/*"


def test_several_key_headers_count_as_no_key():
    headers = [(b"x-api-key", b"k1"), (b"x-api-key", b"k3")]
    request = wire.parse_request(b"GET", b"/a/", headers, b"")
    assert not _table().admit(_route(), request.key)


@hypothesis.given(st.binary(max_size=200))
def test_keys_of_any_bytes_get_an_answer(key):
    request = wire.parse_request(b"GET", b"/a/", [(b"x-api-key", key)], b"")
    known = key.strip() in (b"k1", b"k2", b"k3")
    assert bool(_table().admit(_route(), request.key)) == known


def test_keys_are_not_stored():
    workspace = workspaces.Workspace("w", frozenset([workspaces.digest("k1")]))
    assert "k1" not in repr(workspace)


@pytest.mark.parametrize(
    "tenants",
    [
        [{"name": 1, "api_keys": []}],
        [{"name": "w", "api_keys": "k"}],
        [{"name": "w", "api_keys": [1]}],
        [{"name": "w", "api_keys": [], "priority": "high"}],
        [{"name": "w", "api_keys": [], "rate_per_s": -1}],
        [{"name": "w", "api_keys": [], "rate_per_s": "many"}],
        [{"name": "w", "api_keys": [], "burst": -0.5}],
        [{"name": "w", "api_keys": [], "plain_tokens": -200}],
        [{"name": "w", "api_keys": [], "unit": "bytes"}],
        [{"name": "w", "api_keys": [], "unit": 3}],
    ],
)
def test_an_invalid_workspace_is_refused_with_its_position(tenants):
    document = builders_relay.site_document(7, tenants=tenants)
    found = site_config.decode(builders_relay.as_json(document))
    assert isinstance(found, site_config.InvalidDocument)
    assert found.where.startswith("tenants[0]")


def _decode(*tenants):
    document = builders_relay.site_document(7, tenants=list(tenants))
    return site_config.decode(builders_relay.as_json(document))


def test_a_key_of_two_workspaces_is_refused_without_naming_the_key():
    found = _decode(
        {"name": "w1", "api_keys": ["secret", "secret"]},
        {"name": "w2", "api_keys": ["k2", "secret"]},
    )
    assert isinstance(found, site_config.InvalidDocument)
    assert found.where == "tenants[1].api_keys" and "'w1'" in found.reason
    assert "secret" not in found.reason


def test_a_quota_counts_tokens_or_requests():
    # Fields as the users' platform writes them.
    fields = {"rate_per_s": 288475, "burst": 288475, "plain_tokens": 200}
    config = _decode(
        {"name": "w1", "api_keys": [], "unit": "token_metered", **fields},
        {"name": "w2", "api_keys": [], "rate_per_s": 2.5},
    )
    metered, plain = (w.quota for w in config.workspaces)
    assert metered == workspaces.Quota(288475, 288475, True, 200)
    assert metered.amount(9190 + 60) == 9250 and metered.amount(0) == 200
    assert plain.burst == 2.5 and plain.amount(9250) == 1


@pytest.mark.parametrize("fields", [{}, {"rate_per_s": 0, "burst": 9}])
def test_without_a_rate_no_quota_applies(fields):
    table = _table(tenants=[{"name": "w1", "api_keys": ["k1"], **fields}])
    assert table.workspaces.quota_of("w1") is None
    assert not table.workspaces.with_quota()
