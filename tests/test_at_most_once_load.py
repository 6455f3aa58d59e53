"""Latency, writes and bytes of at-most-once execution at the planned load.

`python -m tests.test_at_most_once_load SECONDS` prints the results of a longer
run.
"""

import heapq
import random
import statistics
import sys
import time

from azureline.at_most_once import effects
from azureline.at_most_once import key as key_lib
from azureline.at_most_once import messages
from azureline.at_most_once import owner
from tests import builders_at_most_once

CLAIMS_PER_S = 340
SERVICE_S = 0.003
RUN_S = 0.05
ANSWER = messages.Answer(201, (), b"x" * 200)


class Load:
    """All slots at the planned claim rate, in simulated time."""

    def __init__(self, seconds, hop_s, seed=1):
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.hop_s = hop_s
        self.now = 0.0
        self.service = builders_at_most_once.Service()
        self.latencies = []
        self.refused = 0
        self.reads = 0
        self.cpu_s = 0.0
        self._heap = []
        self._serial = 0
        self._sent = {}
        self._timers = [float("inf")] * key_lib.SLOTS
        self.owners = [self.add_owner(n, 1) for n in range(key_lib.SLOTS)]

    def add_owner(self, slot, epoch):
        wall = builders_at_most_once.EPOCH_S + self.now
        new_owner = owner.Owner(slot, epoch, "n", self.now, wall, self.rng)
        new_owner.set_lease(float("inf"))
        return new_owner

    def after(self, delay, step, *args):
        self._serial += 1
        item = (self.now + delay, self._serial, step, args)
        heapq.heappush(self._heap, item)

    def decide(self, slot, name, *args):
        started = time.process_time()
        emitted = getattr(self.owners[slot], name)(self.now, *args)
        self.cpu_s += time.process_time() - started
        for effect in emitted:
            match effect:
                case effects.Read(key):
                    self.reads += 1
                    self.after(SERVICE_S, self._read, slot, key)
                case effects.Write():
                    self.after(SERVICE_S / 2, self._write, slot, effect)
                case effects.Send(_, message):
                    self.after(self.hop_s, self._reply, message)
        self._arm(slot)

    def _arm(self, slot):
        at = self.owners[slot].wake_at(self.now)
        if at < self._timers[slot]:
            self._timers[slot] = at
            self.after(max(0.0, at - self.now) + 1e-6, self._tick, slot, at)

    def _tick(self, slot, at):
        if self._timers[slot] == at:
            self._timers[slot] = float("inf")
            self.decide(slot, "tick", builders_at_most_once.EPOCH_S + self.now)

    def _read(self, slot, key):
        self.decide(slot, "read_result", key, self.service.get(key))

    def _write(self, slot, write):
        result = self.service.put(write.key, write.value, write.version)
        half = SERVICE_S / 2
        self.after(half, self.decide, slot, "write_result", write.key, result)

    def _reply(self, message):
        sent = self._sent.pop(message.request_id, None)
        if isinstance(message, messages.Refused):
            self.refused += 1
        if not isinstance(message, messages.Granted):
            return
        claim, at = sent
        self.latencies.append(self.now - at)
        done = builders_at_most_once.outcome(claim, answer=ANSWER)
        self.after(RUN_S, self.decide, claim.slot, "request", done)

    def _arrive(self):
        key = key_lib.issue(builders_at_most_once.EPOCH_S + self.now, self.rng)
        slot = key_lib.slot("plant", key)
        claim = builders_at_most_once.claim(key, f"r{self._serial}")
        claim = claim._replace(slot=slot)
        self._sent[claim.request_id] = claim, self.now
        self.after(self.hop_s, self.decide, slot, "request", claim)
        if self.now < self.seconds:
            gap = self.rng.expovariate(CLAIMS_PER_S)
            self.after(gap, self._arrive)

    def run(self):
        for slot in range(key_lib.SLOTS):
            self.decide(slot, "start")
        self.after(1.0, self._arrive)
        self.run_until(self.seconds + 3.0)

    def run_until(self, end):
        while self._heap and self._heap[0][0] <= end:
            self.now, _, step, args = heapq.heappop(self._heap)
            step(*args)

    def figures(self):
        cuts = statistics.quantiles(self.latencies, n=100)
        return {
            "claims": len(self.latencies),
            "refused": self.refused,
            "median_ms": round(1000 * cuts[49], 1),
            "p99_ms": round(1000 * cuts[98], 1),
            "writes_per_s": round(self.service.writes / self.seconds, 1),
            "kb_per_s": round(
                self.service.bytes_written / self.seconds / 1000, 1
            ),
            "cpu_us_per_claim": round(1e6 * self.cpu_s / len(self.latencies)),
            "entries": sum(o.entries for o in self.owners),
        }

    def take_over(self):
        """Returns duration, reads and processor time of a takeover."""
        start, self.reads, self.cpu_s = self.now, 0, 0.0
        self.owners[0] = self.add_owner(0, 2)
        self.decide(0, "start")
        while not self.owners[0].active:
            self.run_until(self._heap[0][0])
        return {
            "takeover_ms": round(1000 * (self.now - start), 1),
            "reads": self.reads,
            "cpu_ms": round(1000 * self.cpu_s, 1),
            "entries": self.owners[0].entries,
        }


def test_the_planned_load_adds_under_15_ms_at_the_median(capsys):
    for hop_s in (0.0005, 0.002):
        load = Load(20.0, hop_s)
        load.run()
        figures = load.figures()
        with capsys.disabled():
            print(f"\n{hop_s=} {figures}")
        assert figures["refused"] == 0
        assert figures["median_ms"] < 15.0
        assert figures["writes_per_s"] <= 160.0


if __name__ == "__main__":
    long_load = Load(float(sys.argv[1]), 0.002)
    long_load.run()
    print(long_load.figures())
    print(long_load.take_over())
