"""Tests of reading, merging and checking configuration files."""

import json
import pathlib
import re

from hypothesis import given
from hypothesis import strategies as st
import pytest

from azureline.config import check
from azureline.config import feasibility
from azureline.config import jsonc
from azureline.config import overlay
from azureline.config import problems
from tests import builders_config

GIB = builders_config.GIB


def _check(tmp_path, site, **changes):
    base = builders_config.document(**changes)
    del base["site"]
    (tmp_path / "base.json").write_text(json.dumps(base, indent=1))
    (tmp_path / "site.json").write_text(site)
    paths = (str(tmp_path / "base.json"), str(tmp_path / "site.json"))
    checked = check.read_files(*paths)
    if isinstance(checked, problems.Invalid):
        return str(checked).replace(str(tmp_path) + "/", "")
    return checked


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ('{\n"a": 1,\n"a": 2}', "f:3: a: key 'a' is given twice"),
        ('{\n"a": tru}', "f:2: unexpected 't'"),
        ('{"a": 1', "f:1: unexpected end of file"),
        ('{"a" 1}', "f:1: unexpected '1'"),
        ("[1e999]", "f:1: [0]: the number is too large"),
        ("[" * 200 + "]" * 200, "nested too deeply"),
    ],
)
def test_a_syntax_error_is_reported_with_its_line(text, message):
    assert message in str(jsonc.parse(text, "f"))


_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda v: (
        st.lists(v, max_size=3)
        | st.dictionaries(st.text(max_size=3), v, max_size=3)
    ),
    max_leaves=10,
)


@given(_VALUES, st.booleans())
def test_json_is_parsed_as_by_the_standard_library(value, ascii_only):
    text = json.dumps(value, ensure_ascii=ascii_only, indent=1)
    assert jsonc.parse(f"// x\n{text} /* y */").value == value


def test_an_overlay_states_only_differences(tmp_path):
    site = """{"site": "s",
      "models": {
        "$remove": ["model-3"],
        "$add": {"new": {"memory_bytes": "2 GiB"}},
        "model-1": {"min_replicas": 2}},
      "services": {"approvals": {"servers": ["ledger-0"]}}}"""
    models = _check(tmp_path, site).configuration.models
    assert sorted(models) == ["model-0", "model-1", "model-2", "new"]
    assert models["model-1"].min_replicas == 2
    assert models["new"].memory_bytes == 2 * GIB


@pytest.mark.parametrize(
    ("site", "message"),
    [
        (
            '"modles": {}',
            "site.json:2: modles: the base has no such option; "
            "did you mean 'models'?",
        ),
        (
            '"models": {\n"model-9": {}}',
            "site.json:3: models.model-9: the base has no such entry; "
            "did you mean 'model-3'?",
        ),
        (
            '"models": {"$add": {\n"model-1": {}}}',
            "site.json:3: models.$add.model-1: the base already has "
            "'model-1'; change it outside $add",
        ),
        (
            '"models": {"$add": {"x": {\n"sise": 1}}}',
            "site.json:3: models.$add.x.sise: unknown option",
        ),
        (
            '"models": {"$remove": [\n"modle-1"]}',
            "site.json:3: models.$remove[0]: the base has no entry "
            "'modle-1'; did you mean 'model-1'?",
        ),
        (
            '"models": {"$remove": ["model-0"]}',
            "base.json:18: adapters.adapter-0.model: needs 'model-0', "
            "which site.json:2 removes",
        ),
        (
            '"models": {"$add": {"x":\n{}}}',
            "site.json:2: models.x.memory_bytes: this option must be given",
        ),
        (
            '"adapters": {"adapter-0":\n{"model": "modl-1"}}',
            "site.json:3: adapters.adapter-0.model: there is no model "
            "'modl-1'; did you mean 'model-1'?",
        ),
        (
            '"services": {"approvals":\n{"servers": ["engine-1"]}}',
            "site.json:3: services.approvals.servers[0]: there is no ledger "
            "engine 'engine-1'",
        ),
        (
            '"services": {"stock": {"servers": ["engine-*"]}}',
            "site.json:2: services.stock.servers[0]: 'engine-0' is an "
            "engine, not a plain server",
        ),
        (
            '"limits": {"retry_budget_ratio": 2}',
            "site.json:2: limits.retry_budget_ratio: must be at most 1",
        ),
    ],
)
def test_an_invalid_overlay_is_reported_with_file_line_key_and_nearest_name(
    tmp_path, site, message
):
    text = '{"site": "s",\n' + site + "}"
    assert _check(tmp_path, text) == message


def test_each_unreadable_file_is_reported():
    found = check.read_files("/none/base.json", "/none/site.json").problems
    assert [str(p) for p in found] == [
        "/none/base.json: No such file or directory",
        "/none/site.json: No such file or directory",
    ]


def test_restating_a_value_of_the_base_is_only_a_warning(tmp_path):
    site = """{"site": "s", "limits": {"adapters_in_transit": 30},
      "services": {"stock": {"idempotent": true}}}"""
    checked = _check(tmp_path, site)
    path = ("services", "stock", "idempotent")
    assert [w.path for w in checked.warnings] == [path]


@pytest.mark.parametrize(
    ("site", "adapters", "engines", "domain"),
    [("tuul", 80, 6, "ub-1"), ("igla", 40, 5, "wlkp-1")],
)
def test_the_shipped_deployments_can_be_served_without_warnings(
    site, adapters, engines, domain
):
    paths = ("deployments/base.json", f"deployments/{site}.json")
    checked = check.read_files(*paths)
    configuration = checked.configuration
    assert checked.warnings == ()
    assert len(configuration.models) == 20
    assert len(configuration.adapters) == adapters
    assert len(configuration.model_engines) == engines
    assert len(configuration.engines) == engines + 3
    domains = {engine.domain for engine in configuration.engines.values()}
    assert len(domains) == 3 and domain in domains
    accelerators = sum(e.accelerators for e in configuration.engines.values())
    assert accelerators < len(configuration.models)


def test_the_shipped_settings_of_a_node_are_valid():
    settings = check.read_settings("deployments/node.json")
    assert (settings.name, settings.statsd.port) == ("node-1", 8125)


@pytest.mark.parametrize("site", ["tuul", "igla"])
def test_a_deployment_with_too_little_memory_is_rejected_with_the_reason(
    tmp_path, site
):
    text = pathlib.Path(f"deployments/{site}.json").read_text("utf-8")
    reduced = tmp_path / "reduced.json"
    reduced.write_text(re.sub(r'"(96|128) GiB"', '"40 GiB"', text))
    found = check.read_files("deployments/base.json", str(reduced))
    assert "the least replicas of all models need" in str(found)
    assert f"{reduced}:" in str(found)


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        (
            {"models": 10},
            "the least replicas of all models need 100.0 GiB, and room for "
            "moving the largest of them 10.0 GiB; together 110.0 GiB, more "
            "than the 108.0 GiB that the 3 engines have for models",
        ),
        ({"model_gib": 37}, "model model-0 needs 37.0 GiB, more than the 36"),
        (
            {"model_gib": 19, "models": 3},
            "4 replicas, room for moving counted as one, need more than "
            "18.0 GiB each, so that no engine holds two, but there are 3",
        ),
        ({"engines": 0}, "there is no engine that can hold models"),
        ({"models": 9, "model_gib": 10}, "no placement was found: model"),
    ],
)
def test_an_unservable_configuration_is_rejected_with_the_figures(
    tmp_path, changes, reason
):
    message = _check(tmp_path, '{"site": "s"}', **changes)
    assert f"this configuration cannot be served: {reason}" in message


def test_an_adapter_that_fits_no_engine_is_rejected(tmp_path):
    site = """{"site": "s",
      "adapters": {"adapter-0": {"memory_bytes": "4.1 GiB"}}}"""
    assert _check(tmp_path, site) == (
        "site.json:2: adapters.adapter-0.memory_bytes: needs 4.1 GiB, more "
        "than the 4.0 GiB that models leave on any engine"
    )


def test_an_engine_of_another_role_does_not_count_for_models(tmp_path):
    roles = {f"engine-{i}": {"role": "prefill"} for i in range(3)}
    site = json.dumps({"site": "s", "engines": roles})
    message = _check(tmp_path, site)
    assert "there is no engine that can hold models" in message


def test_too_little_memory_after_a_loss_is_a_warning(tmp_path):
    checked = _check(tmp_path, '{"site": "s"}', models=6)
    assert [str(w).split(": ")[2] for w in checked.warnings] == [
        "without engine engine-0",
        "without failure domain a",
        "without failure domain b",
        "without failure domain c",
    ]


@given(
    st.lists(
        st.tuples(st.integers(1, 40), st.integers(1, 3)), min_size=1, max_size=8
    ),
    st.lists(st.integers(1, 80), min_size=1, max_size=6),
)
def test_a_packing_respects_memory_and_replica_limits(sizes, engines):
    template = builders_config.configuration().models["model-0"]
    models = {
        f"m{i}": template._replace(memory_bytes=size, min_replicas=replicas)
        for i, (size, replicas) in enumerate(sizes)
    }
    capacities = {f"e{i}": size for i, size in enumerate(engines)}
    packing = feasibility.pack(models, capacities)
    if not packing:
        assert packing.reason
        return
    for engine, names in packing.models.items():
        used = sum(models[name].memory_bytes for name in names)
        assert used + packing.free_bytes[engine] == capacities[engine]
        assert len(set(names)) == len(names)
        assert packing.free_bytes[engine] >= 0
    placed = [name for names in packing.models.values() for name in names]
    assert all(placed.count(m) == models[m].min_replicas for m in models)
    largest = max(model.memory_bytes for model in models.values())
    assert max(packing.free_bytes.values()) >= largest


def test_a_base_entry_is_replaced_by_removing_and_adding_it():
    base = jsonc.parse('{"models": {"m": {"version": "7"}}}', "base")
    site = jsonc.parse(
        '{"models": {"$remove": ["m"], "$add": {"m": {}}}}', "site"
    )
    merged = overlay.merge(base, site)
    assert merged.document["models"]["m"]["version"] == "1"


@pytest.mark.parametrize(
    ("sizes", "capacities", "word"),
    [
        ([4, 4], [4, 4, 4], None),
        ([11], [10], "largest engine"),
        ([6, 6], [10], "all models need"),
        ([6, 6, 6], [10, 10], "all models need"),
        ([4, 4], [4, 4], "room for moving"),
    ],
)
def test_an_impossible_packing_is_rejected_with_its_reason(
    sizes, capacities, word
):
    model = builders_config.configuration().models["model-0"]
    models = {
        f"m{i}": model._replace(memory_bytes=size * GIB, min_replicas=1)
        for i, size in enumerate(sizes)
    }
    engines = {f"e{i}": size * GIB for i, size in enumerate(capacities)}
    result = feasibility.pack(models, engines)
    if word is None:
        assert isinstance(result, feasibility.Packing)
    else:
        assert word in result.reason
