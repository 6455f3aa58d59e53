"""Price of the exchange of crash suspects, on a virtual clock.

Prints the messages and writes for each crash at several sizes: with a part of
prompts that crashes servers, and with crashes of other causes; and the writes
of a trial whose outcome is known late.
"""

import random
import sys
from typing import Any
from typing import NamedTuple

from twisted.internet import defer
from twisted.internet import task

from azureline.relay import messages
from tests import builders_crash_suspects
from tests import builders_prompts

# (nodes, servers) of a site of today, of three grown ones, and of the plan.
SIZES = ((8, 6), (75, 70), (195, 39), (360, 900))
DEADLY_PER_S = 2.5
OTHER_CRASHES = 5
SECONDS = 20.0
MAX_SOUND_PER_S = 120.0
# Time for which the outcome of a trial stays open.
TRIAL_S = 6.0


class Price(NamedTuple):
    """Price of a crash.

    Attributes:
      crashes: number of crashes.
      messages: datagrams per crash, queries apart.
      per_node: the same per node.
      message_bytes: mean size of a datagram.
      writes: writing calls to the store per crash.
      record_bytes: size of the record in the store at the end.
    """

    crashes: int
    messages: int
    per_node: float
    message_bytes: int
    writes: float
    record_bytes: int


class _CountingFleet(builders_crash_suspects.Fleet):
    """Counts the datagrams between nodes."""

    def __init__(self, nodes: int, servers: int):
        self.sizes: list[int] = []
        self._codec = messages.codec()
        super().__init__(1, nodes=nodes, servers=servers)

    def deliver(self, host: str, source: str, port: int, message: Any) -> None:
        """Delivers a datagram and counts it."""
        if not isinstance(message, messages.SuspectsRequest):
            self.sizes.append(len(self._codec.pack(message)))
        super().deliver(host, source, port, message)


def measure(nodes: int, servers: int, deadly: bool) -> Price:
    """Plays sound prompts beside crashes; returns the price of a crash."""
    fleet = _CountingFleet(nodes, servers)
    rng, answers = random.Random(1), []
    per_s = min(max(8.0, float(nodes)), MAX_SOUND_PER_S)
    builders_prompts.play_sound(fleet, rng, SECONDS, per_s, answers)
    if deadly:
        fleet.deadly_parts.add("deadly")
        builders_prompts.play_deadly(
            fleet, rng, SECONDS, DEADLY_PER_S, ["deadly"], answers
        )
    for number in range(0 if deadly else OTHER_CRASHES):
        server = rng.choice(fleet.servers)
        fleet.clock.callLater(2.0 + 2.0 * number, fleet.crash, server)
    fleet.play(SECONDS + 2.0)
    crashes = len(fleet.ends)
    item = fleet.store.item
    return Price(
        crashes,
        round(len(fleet.sizes) / crashes),
        round(len(fleet.sizes) / crashes / nodes, 1),
        round(sum(fleet.sizes) / max(1, len(fleet.sizes))),
        round(fleet.store.calls / crashes, 1),
        len(item.value) if item else 0,
    )


def measure_trial(nodes: int, servers: int) -> int:
    """Returns the writes of a trial whose outcome is open for `TRIAL_S`."""
    fleet = _CountingFleet(nodes, servers)
    for server in fleet.servers[:2]:
        fleet.end(server, b"late")
    fleet.play(5.0)
    suspects = fleet.nodes[0].crash_suspects
    claiming = defer.ensureDeferred(
        suspects.acquire_permit(
            fleet.request(b"late"),
            builders_crash_suspects.SERVICE,
            fleet.usable,
            fleet.clock.now() + builders_crash_suspects.PATIENCE_S,
        )
    )
    fleet.play(1.0)
    permit = claiming.result
    before = fleet.store.calls

    async def watch() -> None:
        await task.deferLater(fleet.clock, TRIAL_S, lambda: None)

    suspects.send_started(permit)
    suspects.send_ended(permit, watch)
    fleet.play(2.0 * TRIAL_S)
    return fleet.store.calls - before


def main() -> int:
    """Prints the prices; returns the exit code."""
    for nodes, servers in SIZES:
        writes = measure_trial(nodes, servers)
        print(f"{nodes} nodes, open trial: {writes} writes", flush=True)
        for deadly in (True, False):
            cause = "part" if deadly else "other"
            price = measure(nodes, servers, deadly)
            print(f"{nodes} nodes, {cause}: {price}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
