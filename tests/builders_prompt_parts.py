"""Plays of prompts of which some have a part that crashes engines."""

from collections.abc import Callable
from collections.abc import Iterator
import concurrent.futures
import contextlib
import functools
import itertools
import random
import signal
import threading
import time
from typing import Any
from typing import NamedTuple

from tests import builders_site
from tools import site_caller

ENGINES = (("m0", "m1"),) * 8
FIRST_PART = "f1"
DEADLY_PARTS = ("dead0", "dead1", "dead2")
# Requests with a deadly part that may reach engines once PROPAGATION_S, the
# time for all nodes to learn of it, has passed since the fifth crash.
MAX_CRASHES = 5
MAX_LATE_ARRIVALS = 3
PROPAGATION_S = 3.0
# Sound requests begin this often, compared with before the first crash, from
# SOUND_AFTER_S after the fifth crash.
MIN_SOUND_SHARE = 0.9
SOUND_AFTER_S = 2 * PROPAGATION_S
SUSPENDED_S = 5.0
_WAIT_LIMIT_MS = 4000


class Play(NamedTuple):
    """What is played.

    Attributes:
      callers: number of callers with sound requests.
      per_s: requests with a deadly part per second.
      parts: number of deadly parts, which take turns.
      begins_s: seconds until the first request with a deadly part.
      lasts_s: seconds from then on.
      pause_s: seconds between the first two requests with a deadly part and
        the others.
      disturbed_after_s: seconds from the first request with a deadly part to
        a disturbance.
    """

    callers: int = 12
    per_s: float = 3.0
    parts: int = 1
    begins_s: float = 4.0
    lasts_s: float = 16.0
    pause_s: float = 0.0
    disturbed_after_s: float = 5.0

    def due(self, elapsed_s: float) -> float:
        """Returns how many requests with a deadly part are due by then."""
        if not self.pause_s:
            return self.per_s * elapsed_s
        return max(2.0, self.per_s * (elapsed_s - self.pause_s))


class Sent(NamedTuple):
    """A request and what its caller received.

    Attributes:
      at: Unix time at which it was sent.
      answer: the answer.
      part: the deadly part of its prompt, or "".
    """

    at: float
    answer: site_caller.Answer
    part: str

    @property
    def begun(self) -> bool:
        """Whether at least one event arrived."""
        return self.answer.status == 200 and bool(self.answer.events)


class Result(NamedTuple):
    """The outcome of a play.

    Attributes:
      sent: all requests.
      crashes: number of crashes of engines.
      late: for each deadly part, requests that reached engines too late.
      sound_before: share of sound requests that began, before the first crash.
      sound_after: the same from SOUND_AFTER_S after the last fifth crash.
    """

    sent: list[Sent]
    crashes: int
    late: dict[str, int]
    sound_before: float
    sound_after: float


def restart_all_nodes(site: builders_site.Site) -> None:
    """Kills all nodes at once and starts them again."""
    for name in builders_site.NODES:
        site.processes.kill(name)
    for number, name in enumerate(builders_site.NODES, 1):
        site.processes.start_relay(name, f"d{number}")


def suspend_a_node(site: builders_site.Site) -> None:
    """Suspends a node until SUSPENDED_S later."""
    name = builders_site.NODES[0]
    site.signal(name, signal.SIGSTOP)
    resume = functools.partial(site.signal, name, signal.SIGCONT)
    threading.Timer(SUSPENDED_S, resume).start()


def play(
    site: builders_site.Site,
    what: Play,
    disturb: Callable[[builders_site.Site], None] | None = None,
) -> Result:
    """Plays sound and deadly requests; returns what came of them.

    Args:
      site: a running site with engines.
      what: what is played.
      disturb: called with the site `what.disturbed_after_s` after the first
        request with a deadly part, or None.
    """
    engines = [n for n in site.processes.urls if n.startswith("engine")]
    parts = DEADLY_PARTS[: what.parts]
    for name in engines:
        site.inject_fault(
            name, deadly={"parts": parts, "after_s": 0.08, "back_s": 1.5}
        )
    sent: list[Sent] = []
    with _sound_callers(site, what.callers, sent):
        time.sleep(what.begins_s)
        with concurrent.futures.ThreadPoolExecutor(1) as thread:
            disturbing = thread.submit(_disturb, site, what, disturb)
            _send_deadly(site, what, parts, sent)
            disturbing.result()
    return _judge(site, engines, parts, sent)


def check(result: Result) -> None:
    """Asserts the required bounds."""
    figures = result._replace(sent=[])
    assert result.crashes >= 2, figures
    assert max(result.late.values()) <= MAX_LATE_ARRIVALS, figures
    assert result.sound_before >= MIN_SOUND_SHARE, figures
    least = MIN_SOUND_SHARE * result.sound_before
    assert result.sound_after >= least, figures


def _disturb(site: builders_site.Site, what: Play, disturb: Any) -> None:
    if disturb is not None:
        time.sleep(what.disturbed_after_s)
        disturb(site)


def _headers(rng: random.Random, part: str) -> dict[str, str]:
    second = part or f"m{rng.randrange(6)}"
    own = f"{rng.getrandbits(48):x}"
    names = (FIRST_PART, second, f"n{rng.randrange(10)}", own)
    prefix = ",".join(f"{name}:40" for name in names)
    return {"Azureline-Prompt-Prefix": prefix}


def _send(
    site: builders_site.Site, rng: random.Random, node: str, part: str
) -> Sent:
    at = time.time()
    answer = site.caller(node).send(
        rng.choice(("/ask/", "/again/")) + f"{rng.getrandbits(32):x}",
        model="m0",
        tokens=20,
        wait_limit_ms=_WAIT_LIMIT_MS,
        body=rng.randbytes(64),
        headers=_headers(rng, part),
    )
    return Sent(at, answer, part)


@contextlib.contextmanager
def _sound_callers(
    site: builders_site.Site, count: int, sent: list[Sent]
) -> Iterator[None]:
    """Sends sound requests at all nodes until the block ends."""
    stopping = threading.Event()

    def run(number: int) -> None:
        rng = random.Random(number)
        while not stopping.is_set():
            node = rng.choice(builders_site.NODES)
            sent.append(_send(site, rng, node, ""))
            time.sleep(rng.uniform(0.05, 0.3))

    with concurrent.futures.ThreadPoolExecutor(count) as threads:
        running = [threads.submit(run, number) for number in range(count)]
        try:
            yield
        finally:
            stopping.set()
        for caller in running:
            caller.result()


def _send_deadly(
    site: builders_site.Site,
    what: Play,
    parts: tuple[str, ...],
    sent: list[Sent],
) -> None:
    rng = random.Random(1)
    began = time.monotonic()
    turns = zip(itertools.cycle(builders_site.NODES), itertools.count())
    with concurrent.futures.ThreadPoolExecutor(64) as threads:
        running = []
        for tick in range(int(what.lasts_s * 10)):
            while len(running) < what.due(time.monotonic() - began):
                node, turn = next(turns)
                part = parts[turn % len(parts)]
                request_rng = random.Random(rng.getrandbits(64))
                running.append(
                    threads.submit(_send, site, request_rng, node, part)
                )
            time.sleep(max(0.0, began + tick / 10 + 0.1 - time.monotonic()))
        sent += [one.result() for one in running]


def _judge(
    site: builders_site.Site,
    engines: list[str],
    parts: tuple[str, ...],
    sent: list[Sent],
) -> Result:
    site.until("all engines have restarted", lambda: _up(site, engines))
    seen = [site.recorded(name) for name in engines]
    part_of = {one.answer.request_id: one.part for one in sent}
    crashes = [c for server in seen for c in server["caused_crashes"]]
    late, fifth_crashes = {}, []
    for part in parts:
        times = sorted(
            c["at"] for c in crashes if part_of.get(c["request_id"]) == part
        )
        bounds = times[MAX_CRASHES - 1 : MAX_CRASHES] or times[-1:]
        fifth_crashes += bounds
        late[part] = sum(
            row["at"] > bounds[0] + PROPAGATION_S
            for server in seen
            for row in server["arrivals"]
            if len(times) >= MAX_CRASHES
            and part_of.get(row["request_id"]) == part
        )
    first_crash = min((c["at"] for c in crashes), default=float("inf"))
    sound_from = max(fifth_crashes, default=0.0) + SOUND_AFTER_S
    sound = [one for one in sent if not one.part]
    return Result(
        sent,
        len(crashes),
        late,
        _begun([s for s in sound if s.at < first_crash - 1.0]),
        _begun([s for s in sound if s.at >= sound_from]),
    )


def _begun(sent: list[Sent]) -> float:
    return sum(one.begun for one in sent) / max(1, len(sent))


def _up(site: builders_site.Site, engines: list[str]) -> bool:
    try:
        return all(site.recorded(name) for name in engines)
    except OSError:
        return False
