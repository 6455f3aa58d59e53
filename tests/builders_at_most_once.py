"""Simulation of owners, entry nodes, callers, a key-value service and a ledger.

All events are on one heap of timed events and come from one random seed.
Messages are delayed, duplicated and lost; processes freeze and crash; the
service loses answers and has outages; owners are replaced while they are
still active.  The ledger is the backend server, and its record of runs is the
only evidence of what ran.
"""

import collections
from collections.abc import Callable
import heapq
import random
from typing import Any
from typing import NamedTuple

from azureline.at_most_once import effects
from azureline.at_most_once import entry_call
from azureline.at_most_once import key as key_lib
from azureline.at_most_once import limits
from azureline.at_most_once import log
from azureline.at_most_once import messages
from azureline.at_most_once import owner
from azureline.core import errors
from azureline.platform import interface

EPOCH_S = 1.7e9
LAYOUT = log.Layout(
    pages=4,
    chunks=3,
    page_entries=2,
    max_page_entries=8,
    compact_pages=2,
    chunk_entries=5,
)
LIMITS = limits.Limits(retention_s=20.0, entries=64, claims=32, waiters=3)
CALL_TIMEOUT_S = 0.4
LEASE_GAP_S = 0.3


class Rates(NamedTuple):
    """Probabilities of failures per message, call or process.

    `takeovers` is the maximum number of takeovers in a history.
    """

    lose_message: float = 0.03
    old_hint: float = 0.1
    duplicate_message: float = 0.03
    slow: float = 0.03
    lose_answer: float = 0.03
    outage: float = 0.3
    freeze: float = 0.3
    kill: float = 0.2
    takeovers: int = 2
    not_started: float = 0.1
    no_answer: float = 0.1


class Service:
    """A key-value service with compare-and-swap."""

    def __init__(self):
        self.values: dict[str, interface.Entry] = {}
        self.writes = 0
        self.bytes_written = 0

    def get(self, key: str) -> interface.Entry | None:
        return self.values.get(key)

    def put(
        self, key: str, value: bytes, version: int
    ) -> interface.Entry | interface.Conflict:
        current = self.values.get(key)
        if (current.version if current else 0) != version:
            return interface.Conflict(current)
        self.values[key] = interface.Entry(value, version + 1)
        self.writes += 1
        self.bytes_written += len(value)
        return self.values[key]


class Process:
    """A process that can freeze, crash and lose its link to the service."""

    def __init__(self, world: "Simulation", name: str):
        self.world = world
        self.name = name
        self.frozen_until = 0.0
        self.dead = False
        self.partitioned_until = 0.0
        self.skew = world.rng.uniform(-1.0, 1.0)
        self.base = world.rng.uniform(0.0, 1000.0)

    @property
    def now(self) -> float:
        return self.world.now + self.base

    @property
    def wall(self) -> float:
        return EPOCH_S + self.world.now + self.skew

    def deliver(self, delay: float, step: Callable, *args: Any) -> None:
        """Runs a step after a delay, or later when the process unfreezes."""
        self.world.after(delay, self._step, step, args)

    def _step(self, step: Callable, args: tuple) -> None:
        if self.dead:
            return
        if self.world.now < self.frozen_until:
            pause = self.frozen_until - self.world.now
            self.world.after(pause, self._step, step, args)
            return
        step(*args)


class OwnerProcess(Process):
    """A process that owns the slot, or was deposed without noticing."""

    def __init__(
        self, world: "Simulation", epoch: int, kind: type[owner.Owner]
    ):
        super().__init__(world, f"owner{epoch}")
        self.owner = kind(
            0,
            epoch,
            self.name,
            self.now,
            self.wall,
            world.rng,
            LIMITS,
            LAYOUT,
        )
        self._timer = float("inf")

    def start(self) -> None:
        self.perform(self.owner.start(self.now))

    def request(self, message: messages.Request) -> None:
        self.perform(self.owner.request(self.now, message))

    def lease(self, until: float) -> None:
        """Sets a lease that ends at a time of the simulated clock."""
        self.owner.set_lease(until + self.base)

    def lost(self, node: str) -> None:
        self.perform(self.owner.node_lost(self.now, node))

    def perform(self, emitted: list[effects.Effect]) -> None:
        for effect in emitted:
            match effect:
                case effects.Read(key):
                    self.world.call(self, self._read, key)
                case effects.Write(key, value, version):
                    self.world.call(self, self._write, key, value, version)
                case effects.Send(node, message):
                    self.world.send_reply(node, message)
        self._arm()

    def _read(self, key: str) -> Callable:
        result = self.world.service.get(key)
        return lambda r=result: self._read_done(key, r)

    def _read_done(self, key: str, result: Any) -> None:
        self.perform(self.owner.read_result(self.now, key, result))

    def _write(self, key: str, value: bytes, version: int) -> Callable:
        result = self.world.service.put(key, value, version)
        return lambda r=result: self._write_done(key, r)

    def _write_done(self, key: str, result: Any) -> None:
        self.perform(self.owner.write_result(self.now, key, result))

    def no_answer(self, call: Callable, key: str) -> None:
        lost = interface.Unavailable("timeout")
        if call == self._read:
            self._read_done(key, lost)
        else:
            self._write_done(key, lost)

    def _arm(self) -> None:
        at = self.owner.wake_at(self.now) - self.base
        at = max(at, self.world.now + 1e-4)
        if at < self._timer and at < self.world.end:
            self._timer = at
            self.deliver(at - self.world.now, self._tick, at)

    def _tick(self, at: float) -> None:
        if at == self._timer:
            self._timer = float("inf")
            self.perform(self.owner.tick(self.now, self.wall))


class Run(NamedTuple):
    """One execution of a request at the ledger."""

    at: float
    answer: messages.Answer


class Reply(NamedTuple):
    """The reply to a caller for one copy of a request."""

    identity: tuple[str, str]
    content: bytes
    sent_at: float
    at: float
    result: messages.Answer | errors.Refusal


class EntryProcess(Process):
    """An entry node and its calls in progress."""

    def __init__(self, world: "Simulation", name: str):
        super().__init__(world, name)
        self._calls: dict[str, entry_call.Call] = {}
        self._claims: dict[str, tuple[messages.Claim, float]] = {}
        self._armed: dict[str, float] = {}

    def submit(
        self, caller: str, key: str, content: bytes, budget_s: float
    ) -> None:
        parsed = key_lib.parse(key, self.wall, LIMITS.retention_s)
        sent_at = self.world.now
        if not parsed:
            self.world.record_reply((caller, key), content, sent_at, parsed)
            return
        request_id = f"{self.name}-{self.world.serial()}"
        claim = messages.Claim(
            0, caller, key, content, budget_s, self.name, request_id
        )
        call = self.world.call_kind(claim, self.now, self.world.rng)
        self._calls[request_id] = call
        self._claims[request_id] = claim, sent_at
        self._act(request_id, call.start(self.now))

    def reply(self, message: messages.Reply) -> None:
        call = self._calls.get(message.request_id)
        if call is not None:
            self._act(message.request_id, call.reply(self.now, message))

    def _act(self, request_id: str, emitted: list[entry_call.Effect]) -> None:
        claim, sent_at = self._claims[request_id]
        for effect in emitted:
            match effect:
                case entry_call.SendToOwner(message):
                    self.world.send_request(message)
                case entry_call.Dispatch():
                    delay = self.world.delay()
                    self.deliver(delay, self._dispatch, request_id)
                case entry_call.Finish(result):
                    self.world.record_reply(
                        (claim.caller, claim.key),
                        claim.content,
                        sent_at,
                        result,
                    )
        self._arm(request_id)

    def _arm(self, request_id: str) -> None:
        call = self._calls[request_id]
        if call.done:
            del self._calls[request_id]
            return
        at = call.wake_at()
        if (
            at != self._armed.get(request_id)
            and at < self.base + self.world.end
        ):
            self._armed[request_id] = at
            delay = max(1e-4, at - self.now)
            self.deliver(delay, self._tick, request_id, at)

    def _tick(self, request_id: str, at: float) -> None:
        call = self._calls.get(request_id)
        if call is not None and call.wake_at() == at:
            self._armed.pop(request_id)
            self._act(request_id, call.tick(self.now))

    def _dispatch(self, request_id: str) -> None:
        call = self._calls.get(request_id)
        if call is None:
            return
        claim, _ = self._claims[request_id]
        refusal = errors.Refusal(errors.ErrorKind.BACKEND_FAILED, "")
        unsent = self.world.chance(self.world.rates.not_started)
        if unsent or not call.try_dispatch(self.now):
            self._act(request_id, call.not_run(self.now, refusal))
            return
        self.world.dispatch(self, claim, request_id)

    def ran(self, request_id: str, answer: messages.Answer) -> None:
        self._outcome(request_id, lambda c: c.ran(self.now, answer))

    def not_started(self, request_id: str) -> None:
        refusal = errors.Refusal(errors.ErrorKind.BACKEND_FAILED, "")
        self._outcome(request_id, lambda c: c.not_run(self.now, refusal))

    def broken(self, request_id: str) -> None:
        refusal = errors.Refusal(errors.ErrorKind.BACKEND_FAILED, "")
        self._outcome(request_id, lambda c: c.unknown(self.now, refusal))

    def _outcome(self, request_id: str, step: Callable) -> None:
        call = self._calls.get(request_id)
        if call is not None:
            self._act(request_id, step(call))


class Simulation:
    """One simulated history, determined by a seed."""

    def __init__(
        self,
        seed: int,
        rates: Rates | None = None,
        owner_kind: type[owner.Owner] = owner.Owner,
        call_kind: type[entry_call.Call] = entry_call.Call,
    ):
        self.rng = random.Random(seed)
        self.rates = rates or Rates()
        self.owner_kind = owner_kind
        self.call_kind = call_kind
        self.now = 0.0
        self.end = 60.0
        self.service = Service()
        self.runs: dict[tuple, list[Run]] = collections.defaultdict(list)
        self.replies: list[Reply] = []
        self.failures: collections.Counter[str] = collections.Counter()
        self.entries = {
            name: EntryProcess(self, name) for name in ("e0", "e1", "e2")
        }
        self.owners: list[OwnerProcess] = []
        self.sent: dict[tuple, bytes] = {}
        self.long = seed % 6 == 0
        self._lease = seed % 3 != 0
        self._heap: list[tuple] = []
        self._serial = 0
        self.outage = (0.0, 0.0)
        self._healed = False
        self.run_s = 0.0
        self.refuse_next = False
        self.lose_next_answer = False
        self.next_call_delay_s = 0.0

    def serial(self) -> int:
        self._serial += 1
        return self._serial

    def chance(self, probability: float) -> bool:
        return not self._healed and self.rng.random() < probability

    def delay(self) -> float:
        if not self._healed and self.rng.random() < self.rates.slow:
            self.failures["slow"] += 1
            return self.rng.uniform(0.1, 12.0)
        return self.rng.uniform(0.001, 0.01)

    def after(self, delay: float, step: Callable, *args: Any) -> None:
        item = (self.now + delay, self.serial(), step, args)
        heapq.heappush(self._heap, item)

    def run(self, until: float) -> None:
        while self._heap and self._heap[0][0] <= until:
            self.now, _, step, args = heapq.heappop(self._heap)
            step(*args)
        self.now = until

    # The network and the service.

    def send_request(self, message: messages.Request) -> None:
        """Sends to the newest owner, or to an old one by an outdated hint."""
        if not self.owners:
            return
        target = self.owners[-1]
        if self.chance(self.rates.old_hint):
            target = self.rng.choice(self.owners)
        self._send_over_network(target, target.request, message)

    def send_reply(self, node: str, message: messages.Reply) -> None:
        target = self.entries[node]
        self._send_over_network(target, target.reply, message)

    def _send_over_network(
        self, target: Process, step: Callable, message: Any
    ) -> None:
        if self.chance(self.rates.lose_message):
            self.failures["lost"] += 1
            return
        if self.chance(self.rates.duplicate_message):
            self.failures["doubled"] += 1
            target.deliver(self.delay(), step, message)
        target.deliver(self.delay(), step, message)

    def call(self, process: OwnerProcess, call: Callable, *args: Any) -> None:
        """Calls the service; exactly one of answer and timeout is delivered."""
        fate = {"open": True}

        def timeout() -> None:
            if fate.pop("open", False):
                self.failures["unanswered"] += 1
                process.no_answer(call, args[0])

        def answered(done: Callable) -> None:
            if fate.pop("open", False):
                done()

        def take_effect() -> None:
            if self._down(process):
                return
            done = call(*args)
            lost = self.lose_next_answer or self.chance(self.rates.lose_answer)
            self.lose_next_answer = False
            if not lost:
                process.deliver(self.delay(), answered, done)

        process.deliver(CALL_TIMEOUT_S, timeout)
        if not self._down(process):
            late_s, self.next_call_delay_s = self.next_call_delay_s, 0.0
            self.after(late_s + self.delay(), take_effect)

    def _down(self, process: Process) -> bool:
        start, end = self.outage
        cut = self.now < process.partitioned_until
        return not self._healed and (cut or start <= self.now < end)

    # The ledger.

    def dispatch(
        self, node: EntryProcess, claim: messages.Claim, request_id: str
    ) -> None:
        if self.refuse_next or self.chance(self.rates.not_started):
            self.refuse_next = False
            node.deliver(self.delay(), node.not_started, request_id)
            return
        self.after(self.delay(), self._run, node, claim, request_id)

    def _run(
        self, node: EntryProcess, claim: messages.Claim, request_id: str
    ) -> None:
        identity = claim.caller, claim.key
        serial = len(self.runs[identity])
        body = claim.content + f"{claim.caller}/{serial}".encode()
        answer = messages.Answer(200, (), body)
        self.runs[identity].append(Run(self.now, answer))
        if self.chance(self.rates.no_answer):
            node.deliver(self.delay(), node.broken, request_id)
        else:
            delay = self.run_s + self.delay()
            node.deliver(delay, node.ran, request_id, answer)

    # Owners.

    def add_owner(self, start_delay: float = 0.0) -> OwnerProcess:
        epoch = len(self.owners) + 1
        process = OwnerProcess(self, epoch, self.owner_kind)
        self.owners.append(process)
        process.deliver(start_delay, process.start)
        return process

    def renew(self, process: OwnerProcess, until: float) -> None:
        """Renews a lease periodically; the lease never ends after `until`."""
        if process.dead or self.now >= until:
            return
        if self.now >= process.frozen_until and not self._down(process):
            process.lease(min(self.now + 3.0, until))
        self.after(1.1, self.renew, process, until)

    def take_over(self, at: float, next_at: float) -> None:
        """Starts a new owner after the lease of the old one has ended."""
        delay = min(self.delay(), 5.0) if self.chance(0.2) else 0.0
        process = self.add_owner(delay)
        if self._lease:
            self.renew(process, next_at - LEASE_GAP_S)

    # Histories.

    def play(self) -> None:
        """Simulates callers and failures, then resends every key.

        All failures end before the first resend, at which most keys are still
        recorded.  Long histories resend a second time, through an entry node
        whose clock is slow, after all keys have expired, other keys have
        replaced them in the log and a new owner has loaded it.
        """
        rng, rates = self.rng, self.rates
        times = [0.0]
        for _ in range(rng.randint(0, rates.takeovers)):
            times.append(times[-1] + rng.uniform(0.5, 8.0))
        for at, next_at in zip(times, [*times[1:], 1e9], strict=True):
            self.after(at, self.take_over, at, next_at)
        self._schedule_failures()
        for number in range(3):
            self._schedule_key(number)
        self.run(18.0)
        self.heal()
        self.run(20.0)
        first = dict(self.sent)
        self._resend(first)
        self.run(24.0)
        if not self.long:
            return
        self.run(34.0)
        for number in range(3, 12):
            self._schedule_key(number)
        self.run(45.0)
        self.take_over(self.now, 1e9)
        self.run(48.0)
        self.entries["e0"].skew = -60.0
        self._resend(first)
        self.run(60.0)

    def _resend(self, sent: dict[tuple, bytes]) -> None:
        for (caller, key), content in sent.items():
            self.entries["e0"].submit(caller, key, content, 3.0)

    def heal(self) -> None:
        """Ends all failures; replaces a dead or deposed newest owner and e0."""
        self._healed = True
        for process in [*self.owners, *self.entries.values()]:
            process.frozen_until = min(process.frozen_until, self.now)
        newest = self.owners[-1]
        if newest.dead or newest.owner.deposed:
            self.take_over(self.now, 1e9)
        self.entries["e0"] = EntryProcess(self, "e0")

    def _schedule_failures(self) -> None:
        rng, rates = self.rng, self.rates
        if self.chance(rates.outage):
            start = rng.uniform(0.0, 10.0)
            self.outage = start, start + rng.uniform(0.2, 6.0)
            self.failures["outage"] += 1
        for name in self.entries:
            self._schedule_process_failures(lambda n=name: self.entries[n])
        for index in range(rates.takeovers + 1):
            self._schedule_process_failures(lambda i=index: self.owners[i])

    def _schedule_process_failures(self, find: Callable[[], Process]) -> None:
        for kind in ("freeze", "kill", "cut"):
            rate = self.rates.kill if kind == "kill" else self.rates.freeze
            if self.chance(rate):
                at = self.rng.uniform(0.0, 12.0)
                self.after(at, self._fail_process, kind, find)

    def _fail_process(self, kind: str, find: Callable[[], Process]) -> None:
        try:
            process = find()
        except IndexError:
            return
        self.failures[kind] += 1
        length = self.rng.uniform(0.2, 10.0)
        match kind:
            case "freeze":
                process.frozen_until = self.now + length
            case "cut":
                process.partitioned_until = self.now + length
            case "kill":
                self.kill(process)

    def kill(self, process: Process) -> None:
        process.dead = True
        if isinstance(process, EntryProcess):
            # Entry nodes are replaced; owners are notified late or never.
            self.entries[process.name] = EntryProcess(self, process.name)
            for target in self.owners:
                if self.rng.random() < 0.7:
                    target.deliver(self.delay(), target.lost, process.name)

    def _schedule_key(self, number: int) -> None:
        rng = self.rng
        at = rng.uniform(0.0, 8.0)
        key = key_lib.issue(EPOCH_S + self.now + at, rng)
        caller = f"caller{number % 2}"
        content = f"body{number:04d}".encode()
        self.sent[caller, key] = content
        for copy in range(rng.randint(1, 4)):
            wait = rng.uniform(0.0, 3.0) if copy else 0.0
            if rng.random() < 0.1:
                wait = rng.uniform(3.0, 18.0)
            self._schedule_copy(at + wait, caller, key, content)
        if rng.random() < 0.15:
            self._schedule_copy(at + rng.random(), caller, key, b"other body")
        if rng.random() < 0.15:
            other = f"other-{caller}"
            self.sent[other, key] = content
            self._schedule_copy(at + rng.random(), other, key, content)

    def _schedule_copy(
        self, at: float, caller: str, key: str, content: bytes
    ) -> None:
        budget_s = self.rng.uniform(0.3, 6.0)
        name = self.rng.choice(sorted(self.entries))

        def submit() -> None:
            node = self.entries[name]
            node.deliver(0.0, node.submit, caller, key, content, budget_s)

        self.after(at, submit)

    def record_reply(
        self,
        identity: tuple[str, str],
        content: bytes,
        sent_at: float,
        result: messages.Answer | errors.Refusal,
    ) -> None:
        reply = Reply(identity, content, sent_at, self.now, result)
        self.replies.append(reply)

    def violations(self) -> list[str]:
        """Returns the violations of the at-most-once guarantees."""
        violations = [
            f"{len(runs)} runs of {identity}"
            for identity, runs in self.runs.items()
            if len(runs) > 1
        ]
        for reply in self.replies:
            runs = self.runs.get(reply.identity, [])
            violations += _violations_of(reply, runs)
        return violations


def _violations_of(reply: Reply, runs: list[Run]) -> list[str]:
    if isinstance(reply.result, messages.Answer):
        if not runs or reply.result != runs[0].answer:
            return [f"answer differs from the first run's: {reply}"]
        return []
    if reply.result.kind is errors.ErrorKind.KEY_REUSED:
        return []
    match reply.result.answer.ran:
        case errors.Ran.NO if runs and runs[0].at < reply.sent_at:
            return [
                f"reply claims not run, but the request ran before: {reply}"
            ]
        case errors.Ran.YES if not runs:
            return [
                f"reply claims that the request ran, but it did not: {reply}"
            ]
    return []


class OwnerHarness:
    """One owner, with a service that answers immediately."""

    def __init__(self, layout: log.Layout = LAYOUT, **limits: Any):
        self.service = Service()
        self.layout = layout
        self.limits = LIMITS._replace(**limits)
        self.rng = random.Random(1)
        self.now = 100.0
        self.sent: list[effects.Send] = []
        self.held: list[effects.Write] = []
        self.hold_writes = False
        self.epoch = 0
        self.take_over()

    def take_over(self) -> owner.Owner:
        """Replaces the owner; the previous one stays usable as `old`."""
        self.old = getattr(self, "owner", None)
        self.epoch += 1
        self.owner = owner.Owner(
            0,
            self.epoch,
            "writer",
            self.now,
            EPOCH_S + self.now,
            self.rng,
            self.limits,
            self.layout,
        )
        self.owner.set_lease(float("inf"))
        self.act(self.owner, self.owner.start(self.now))
        return self.owner

    def act(self, target: owner.Owner, emitted: list[effects.Effect]) -> None:
        for effect in emitted:
            match effect:
                case effects.Read(key):
                    value = self.service.get(key)
                    done = target.read_result(self.now, key, value)
                    self.act(target, done)
                case effects.Write() if self.hold_writes:
                    self.held.append(effect)
                case effects.Write(key, value, version):
                    result = self.service.put(key, value, version)
                    done = target.write_result(self.now, key, result)
                    self.act(target, done)
                case effects.Send():
                    self.sent.append(effect)

    def advance(self, seconds: float) -> None:
        self.now += seconds
        emitted = self.owner.tick(self.now, EPOCH_S + self.now)
        self.act(self.owner, emitted)

    def request(
        self, message: messages.Request, to: owner.Owner | None = None
    ) -> list[messages.Reply]:
        """Returns the replies to a message within one write interval."""
        target = to or self.owner
        start = len(self.sent)
        self.act(target, target.request(self.now, message))
        self.now += owner.MIN_WRITE_INTERVAL_S
        wall = EPOCH_S + self.now
        self.act(target, target.tick(self.now, wall))
        replies = [effect.message for effect in self.sent[start:]]
        return [r for r in replies if r.request_id == message.request_id]

    def key(self, age_s: float = 0.0) -> str:
        return key_lib.issue(EPOCH_S + self.now - age_s, self.rng)


def claim(
    key: str,
    request_id: str = "r1",
    caller: str = "plant",
    content: bytes = b"body",
    node: str = "e0",
    budget_s: float = 5.0,
) -> messages.Claim:
    """Returns a claim."""
    return messages.Claim(0, caller, key, content, budget_s, node, request_id)


def outcome(
    sent: messages.Claim,
    result: messages.Result = messages.Result.RAN,
    answer: messages.Answer | None = None,
    attempt: int = 1,
) -> messages.Outcome:
    """Returns the outcome of a claim's grant."""
    return messages.Outcome(
        sent.slot,
        sent.caller,
        sent.key,
        sent.content,
        sent.node,
        sent.request_id,
        attempt,
        result.value,
        answer,
    )
