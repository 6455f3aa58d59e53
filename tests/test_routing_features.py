"""Step definitions of the routing scenarios."""

import types

import pytest
import pytest_bdd
from pytest_bdd import parsers

from azureline import requests
from azureline.core import errors
from azureline.routing import admission
from azureline.routing import picker
from azureline.routing import stream
from tests import builders_routing as build
from tests import test_routing_admission as admission_tests
from tests import test_routing_picker as picker_tests
from tests import test_routing_stream as stream_tests
from tests import test_routing_suspects as suspect_tests
from tools import overload_bench

given, when, then = pytest_bdd.given, pytest_bdd.when, pytest_bdd.then
pytest_bdd.scenarios("features/routing.feature")


@pytest.fixture
def world():
    """State shared by the steps of one scenario."""
    return types.SimpleNamespace(now=0.0, outputs=[])


@given(
    parsers.parse(
        "8 nodes before 6 engines that report every 2 s, seed {seed:d}"
    )
)
def eight_nodes(world, seed):
    world.seed = seed


@when("calls arrive at 25 a second for 60 s")
def calls_arrive(world):
    world.worst = picker_tests.measure_peak_load(picker.Picker, world.seed)


@then(parsers.parse("no engine holds more than {bound:f} times the mean"))
def no_herd(world, bound):
    assert world.worst < bound


@given(parsers.parse("a load of {load:d} times the capacity, seed {seed:d}"))
def a_load(world, load, seed):
    world.load, world.seed = load, seed


@when("it lasts for 120 s")
def it_lasts(world):
    world.figures = overload_bench.Bench(world.load, world.seed).run()


@then(parsers.parse("at least {percent:d}% of the urgent calls are in time"))
def urgent_in_time(world, percent):
    assert world.figures.attainment[0] >= percent / 100


@then(parsers.parse("useful work is at least {percent:d}% of that at capacity"))
def useful_work(world, percent):
    at_capacity = overload_bench.Bench(1.0, world.seed).run()
    least = at_capacity.useful_tokens_s * percent / 100
    assert world.figures.useful_tokens_s >= least


@then(parsers.parse("sends stay under {ratio:f} times the first sends"))
def sends_stay_under(world, ratio):
    assert world.figures.resent < ratio


@given("a node whose engine runs one call at a time")
def one_at_a_time(world):
    world.admission = admission_tests.new_admission()


@when(parsers.parse("all classes wait without pause for {count:d} sends"))
def all_classes_wait(world, count):
    world.shares = admission_tests.measure_class_shares(count)


@then("each class gets at least its share")
def each_share(world):
    shares = admission.DEFAULTS.shares
    for seen, share in zip(world.shares, shares, strict=True):
        assert seen >= share - 0.01


@given(parsers.parse("a node that sends {rate:d} calls a second to 3 engines"))
def a_sending_node(world, rate):
    world.rate = rate
    world.picker = build.new_picker()


@when(parsers.parse("engine {engine} is known to leave at {at:d} s"))
def known_to_leave(world, engine, at):
    world.sent = []
    for i in range(10 * world.rate):
        now = i / world.rate
        if now == at:
            world.picker.exclude_leaving(now, engine)
        call = build.call(content=b"leaving-%d" % i)
        chosen = world.picker.choose(now, call, build.candidates(3))
        world.sent.append((now, chosen.engine))


@then(
    parsers.parse(
        "{engine} is sent nothing from {at:d} s on and the others everything"
    )
)
def sent_nothing(world, engine, at):
    before = {e for now, e in world.sent if now < at}
    after = {e for now, e in world.sent if now >= at}
    assert engine in before
    assert after
    assert after <= {"e0", "e1", "e2"} - {engine}


@given(
    parsers.parse("a stream of {count:d} tokens of which {sent:d} have come")
)
def a_stream_in_the_middle(world, count, sent):
    a_stream(world, count)
    world.outputs = world.relay.received(0.0, 1, b"".join(world.parts[:sent]))


@given(parsers.parse("a stream of {count:d} tokens"))
def a_stream(world, count):
    world.relay = stream.StreamRelay(0.0, "r1")
    world.parts = [stream_tests.event(i) for i in range(count)]
    world.parts.append(stream_tests.done(count))


@when(parsers.parse("its connection is silent for {seconds:d} s"))
def silent(world, seconds):
    assert world.relay.tick(seconds - 0.1) == []
    world.resumed = world.relay.tick(float(seconds))


@then(parsers.parse("a new connection resumes at offset {offset:d}"))
def resumes(world, offset):
    assert world.resumed == [stream.ResumeAt(offset, 2)]


@then("late bytes of the silent connection change nothing")
def late_bytes(world):
    assert world.relay.received(3.0, 1, b"".join(world.parts[3:])) == []


@then("the caller gets the whole answer once")
def whole_once(world):
    world.outputs += world.relay.received(3.0, 2, b"".join(world.parts[3:]))
    got = stream_tests.forwarded(world.outputs)
    assert got == b"".join(world.parts)
    assert world.outputs[-1] == stream.Finished(6)


@when("the caller takes nothing")
def takes_nothing(world):
    world.read = 0
    for part in world.parts:
        world.read += len(part)
        world.outputs = world.relay.received(0.0, 1, part)
        if stream.Pause() in world.outputs:
            return


@then("the engine's connection is paused within 64 KiB")
def paused(world):
    assert world.outputs[-1] == stream.Pause()
    assert world.read <= 65536 + len(world.parts[0]) + 10


@then(parsers.parse("the stream is cancelled after {seconds:d} s"))
def cancelled_after(world, seconds):
    assert world.relay.tick(seconds - 0.1) == []
    cancel, failed = world.relay.tick(float(seconds))
    assert cancel == stream.Cancel()
    assert failed.refusal.kind is errors.ErrorKind.CALLER_GONE


@when(parsers.parse("the caller takes all that waits after {seconds:d} s"))
def takes_all(world, seconds):
    world.outputs = world.relay.caller_progressed(float(seconds), 0)


@then("the engine's connection is read again")
def read_again(world):
    assert world.outputs == [stream.Resume()]


@given("a call that runs and two that wait")
def one_runs_two_wait(world):
    world.calls = [
        build.call(deadline=100.0 + i, priority=requests.Priority.NORMAL)
        for i in range(3)
    ]
    for call in world.calls:
        world.admission.submit(0.0, call)


@when("the caller of the first that waits leaves")
def first_leaves(world):
    assert world.admission.cancel(world.calls[1].request_id)


@then("the second is sent when the engine is free")
def second_is_sent(world):
    (sent,) = admission_tests.finish(
        world.admission, 1.0, world.calls[0].request_id
    )
    assert sent.call is world.calls[2]


@when("its caller leaves")
def caller_leaves(world):
    world.outputs = [
        *world.relay.caller_disconnected(1.0),
        *world.relay.caller_disconnected(1.0),
    ]


@then("the stream is cancelled at its engine once")
def cancelled_once(world):
    assert world.outputs == [stream.Cancel()]


@given(
    parsers.parse(
        "8 nodes, 6 engines, 400 harmless calls and a killer, seed {seed:d}"
    )
)
def a_fleet(world, seed):
    world.seed = seed


@when("the killer is sent again through any node every 0.5 s")
def sent_again(world):
    world.result = suspect_tests.run_fleet(world.seed)


@then(parsers.parse("at most {count:d} servers go down"))
def few_down(world, count):
    assert world.result.servers_down <= count


@then("every harmless call is answered")
def all_answered(world):
    assert world.result.never_answered == 0
