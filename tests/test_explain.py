"""Tests of the explanation of choices, without a network."""

import copy
import json
from urllib import parse

import pytest
from twisted.internet import error
from twisted.internet import testing as twisted_testing
from twisted.python import failure
from typer import testing

from azureline.metrics import counters as metrics
from azureline.metrics import exposition
from azureline.operators import explanations
from azureline.ui import app
from azureline.ui import client
from tests import builders_engine_choice as builders
from tests import builders_relay


class _Fixture:
    def __init__(self):
        self.fleet = builders.Fleet(nodes=1)
        self.node = self.fleet.nodes[0]
        table = builders_relay.route_table()
        config = builders_relay.config(3, builders.ROUTE)
        service = config.services["llm"]._replace(engine=builders.SPEC)
        table.put_in_force(config._replace(services={"llm": service}))
        self.explainer = explanations.Explainer("n1", table, self._rank)

    def _rank(self, request, route, service):
        profile = self.node.choice.profile(request, route, service.engine)
        ranked = self.node.assigner.rank(request, profile, self.fleet.servers)
        return explanations.Ranked(ranked, ["e9"])

    def ask(self, **query):
        page = self.explainer.answer(query)
        return page.status, json.loads(page.body)


@pytest.fixture
def fixture():
    return _Fixture()


@pytest.fixture
def run(fixture, monkeypatch):
    async def get(reactor, node, path, timeout_s):
        if node != "n1:9":
            return client.NoResponse("no answer")
        query = dict(parse.parse_qsl(parse.urlsplit(path).query))
        return client._Answer(path, *fixture.ask(**query))

    def run_now(work):
        coroutine = work(None)
        try:
            coroutine.send(None)
        except StopIteration as e:
            return e.value

    monkeypatch.setattr(client, "_get", get)
    monkeypatch.setattr("azureline.ui.command.run", run_now)

    def invoke(*arguments, node="n1:9"):
        result = testing.CliRunner().invoke(
            app.build(["explain"]), ["explain", *arguments, "--node", node]
        )
        return result.exit_code, result.output

    return invoke


def test_the_explanation_is_the_choice_and_changes_no_state(fixture):
    """Guards against an explanation by other code, or one with effects."""
    before = copy.deepcopy(fixture.node.choice._records._records)
    query = {"model": "m", "tokens": "9190", "prefix": "p1:6300"}
    first = fixture.ask(**query)
    assert first == fixture.ask(**query)
    assert fixture.node.choice._records._records == before == {}
    assert not fixture.node.counters.with_prefix("")
    request = builders.prompt("p1")
    send = fixture.node.send(request, builders.ROUTE, "long")
    fixture.fleet.clock.callLater(0.0, builders.defer.ensureDeferred, send)
    fixture.fleet.run_until(5.0)
    (done,) = fixture.fleet.done
    assert first[1]["engines"][0]["server"] == done.server
    assert first[1]["excluded"] == ["e9"]
    (engine,) = [
        e for e in fixture.ask(**query)[1]["engines"] if e["reason"] == "home"
    ]
    assert engine["belief_age_s"] > 4.0, "A belief is shown with its age."


@pytest.mark.parametrize(
    ("query", "status", "words"),
    [
        ({"model": "x"}, 404, "model x is unknown to any route"),
        ({"model": "m", "route": "x"}, 404, "no route is named x"),
        ({}, 400, "model is missing"),
        ({"model": "m", "tokens": "-1"}, 400, "tokens"),
        ({"model": "m", "prefix": "a"}, 400, "prefix"),
        ({"model": "m", "prefix": "a:9", "tokens": "5"}, 400, "tokens"),
        ({"model": "m", "prefix": ",".join(["a:1"] * 65)}, 400, "prefix"),
    ],
)
def test_a_wrong_question_is_answered_with_the_reason(
    fixture, query, status, words
):
    """Guards against an explanation of another request than the one meant."""
    answered, document = fixture.ask(**query)
    assert answered == status
    assert words in document["error"]


def test_the_command_prints_a_table_or_json(run):
    """Guards the output and exit codes that operators' scripts rely on."""
    asked = ("m", "--tokens", "9190", "--prefix", "p1:6300")
    code, output = run(*asked)
    assert code == 0
    assert "ENGINE" in output and "no_belief" in output and "never" in output
    code, output = run(*asked, "--json")
    assert code == 0
    assert json.loads(output)["engines"][0]["reason"] == "no_belief"
    code, output = run("x")
    assert (code, "model x is unknown" in output) == (1, True)
    assert run("m", node="n2:9")[0] == 4


@pytest.mark.parametrize(
    ("path", "words"),
    [
        (b"/operators/explain?model=x%20y", b'{"model": "x y"}'),
        (b"/metrics", b"text/plain"),
    ],
)
def test_the_metrics_address_serves_explanations(path, words):
    """Guards the metrics at every other path of the same address."""
    factory = exposition.make_factory(
        exposition.Exposition(metrics.Counters()),
        {explanations.PATH: lambda query: (404, json.dumps(query).encode())},
    )
    protocol = factory.buildProtocol(None)
    transport = twisted_testing.StringTransport()
    protocol.makeConnection(transport)
    protocol.dataReceived(b"GET " + path + b" HTTP/1.1\r\nHost: a\r\n\r\n")
    # The idle timer of an open connection fails later tests of this process.
    protocol.connectionLost(failure.Failure(error.ConnectionDone()))
    assert words in transport.value()
