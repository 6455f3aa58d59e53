"""After a kill of all nodes no stream can be taken up again.

Engines of two software versions serve side by side.
"""

import time

from review.support2 import case
from review.support2 import site as sites
from review.support2 import streams
from tests import builders_relay
from tests import builders_site

NODES = builders_site.NODES
VERSIONS = ("v1", "v2", "v1", "v2")
STREAMS = 18
TOKENS = 120
EVENT_S = 0.05
BUDGET_MS = 15000
ROUTE = builders_relay.site_route(
    "/long/", "streaming", "llm", BUDGET_MS, can_resume=True, gap_aim_ms=600
)
# Time from the first streams to the kill, and from the kill to the restart.
KILL_AFTER_S = 2.0
RESTART_AFTER_S = 0.5
# contact_ms of the sheets, with a margin: the nodes are in touch again.
CONTACT_S = 3.5


def check(record: case.Record, has_trouble: bool) -> list[str]:
    """Takes streams up again after a kill; returns a break of the rule."""
    engines = tuple(
        sites.engine(f"engine-{n}", version=version, work_s=10 * EVENT_S)
        for n, version in enumerate(VERSIONS, 1)
    )
    with sites.running(engines, routes=(ROUTE,)) as site:
        time.sleep(4.0)
        began = _start_streams(site)
        time.sleep(KILL_AFTER_S)
        if has_trouble:
            _kill_all(record, site)
        else:
            record.add("the consumers lose their connections")
            for stream in began:
                stream.close()
        for name in NODES:
            site.until(f"{name} is ready", lambda name=name: site.ready(name))
        record.add("all nodes are ready")
        time.sleep(CONTACT_S)
        return _take_up(record, site, [s.join() for s in began])


def _start_streams(site: builders_site.Site) -> list[streams.Stream]:
    urls = [site.processes.urls[name] for name in NODES]
    return [
        streams.Stream(urls[n % len(urls)], "/long/x", TOKENS, BUDGET_MS)
        for n in range(STREAMS)
    ]


def _kill_all(record: case.Record, site: builders_site.Site) -> None:
    record.add("SIGKILL to all nodes")
    for name in NODES:
        site.processes.kill(name)
    time.sleep(RESTART_AFTER_S)
    for number, name in enumerate(NODES, 1):
        site.processes.start_relay(name, f"d{number}")


def _take_up(
    record: case.Record,
    site: builders_site.Site,
    began: list[streams.Stream],
) -> list[str]:
    urls = [site.processes.urls[name] for name in NODES]
    for stream in began:
        record.add(f"began: {stream.line()}")
    broken = [s for s in began if s.events and not s.complete]
    if len(broken) < 12:
        raise case.CannotRunError(f"only {len(broken)} streams were broken")
    now = time.monotonic()
    taken_up = [
        stream.resumed(
            urls[(n + 1) % len(urls)],
            TOKENS,
            BUDGET_MS - int((now - stream.began_at) * 1000),
        )
        for n, stream in enumerate(broken)
    ]
    new = _start_streams(site)
    for stream in taken_up:
        record.add(f"taken up: {stream.join().line()}")
    for stream in new:
        record.add(f"new: {stream.join().line()}")
    goes_on = sum(bool(s.events) for s in taken_up) / len(taken_up)
    begins = sum(bool(s.events) for s in new) / len(new)
    line = (
        f"of {len(taken_up)} streams taken up {goes_on:.0%} go on; "
        f"of {len(new)} new streams {begins:.0%} begin"
    )
    record.add(line)
    return [line] if goes_on < begins / 2 else []


if __name__ == "__main__":
    case.run(__file__, check)
