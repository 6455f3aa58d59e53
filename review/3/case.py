"""A node is killed, and callers take their streams up at the others."""

import concurrent.futures
import http.client
import sys
import time

from review import support
from tests import builders_relay
from tools import site_caller

NODES = ("relay-1", "relay-2", "relay-3")
KILLED = NODES[0]
STREAMS = 30
# Streams of four seconds.
TOKENS = 200
WORK_S = 0.2
TIMEOUT_MS = 15000
KILL_AFTER_S = 1.2
# Taken-up streams that make the rule count.
MIN_TAKEN_UP = 12
ENGINE = {
    "service": "llm",
    "models": True,
    "resident": ["m0"],
    "slots": 64,
    "work_s": WORK_S,
    "version": "v1",
}
SERVERS = {f"engine-{n}": {**ENGINE, "domain": f"d{n}"} for n in (1, 2, 3)}


def _config():
    document = builders_relay.site_document()
    document["routes"] = [
        builders_relay.site_route(
            "/again/", "streaming", "llm", TIMEOUT_MS, can_resume=True
        )
    ]
    document["services"][0]["engine"]["slots"] = 64
    return document


def _send(site, record, node, headers, leave_at=None):
    """Plays a stream.

    With `leave_at`, a monotonic time in seconds, the caller's connection
    breaks then.
    """
    answer = _play(site, node, headers, leave_at)
    record.write(
        f"answer {answer.request_id} {node} {headers} status={answer.status} "
        f"events={len(answer.events)} complete={answer.complete}"
    )
    return answer


def _play(site, node, headers, leave_at):
    caller = _LeavingCaller(site.processes.urls[node])
    caller.leave_at = leave_at
    return caller.send(
        "/again/x",
        "m0",
        tokens=TOKENS,
        wait_limit_ms=TIMEOUT_MS,
        headers=headers,
    )


class _LeavingCaller(site_caller.Caller):
    """A caller whose connection breaks at a given time."""

    leave_at: float | None = None

    def _read(self, connection, request_id):
        if self.leave_at is None:
            return super()._read(connection, request_id)
        response = connection.getresponse()
        headers = {n.lower(): v for n, v in response.getheaders()}
        body = b""
        try:
            while time.monotonic() < self.leave_at:
                part = response.read1()
                if not part:
                    return site_caller.Answer(
                        request_id, response.status, headers, body, True
                    )
                body += part
        except (OSError, http.client.HTTPException) as e:
            return site_caller.Answer(
                request_id, response.status, headers, body, False, repr(e)
            )
        return site_caller.Answer(
            request_id, response.status, headers, body, False, "left"
        )


def _call(site, record, number, leave_at):
    """Plays a stream, and takes it up again if it breaks off.

    Returns the first answer and those of the caller's further tries.
    """
    first = _send(site, record, KILLED, {}, leave_at)
    tries = []
    if first.status != 200 or first.complete or not first.whole_events:
        return first, tries
    headers = {
        "Last-Event-Id": first.whole_events[-1],
        "Resumes": first.request_id,
    }
    for attempt in range(3):
        # The callers need a moment to connect again, elsewhere.
        time.sleep(0.3)
        node = NODES[1 + (number + attempt) % 2]
        tries.append(_send(site, record, node, headers))
        if tries[-1].status == 200:
            break
    return first, tries


def _run(record):
    with support.running(SERVERS, NODES, _config()) as site:
        # In steady state the nodes know that all streams are of one version.
        time.sleep(8.0)
        leave_at = time.monotonic() + KILL_AFTER_S
        if support.has_trouble():
            leave_at = None
        with concurrent.futures.ThreadPoolExecutor(STREAMS) as threads:
            calls = [
                threads.submit(_call, site, record, number, leave_at)
                for number in range(STREAMS)
            ]
            time.sleep(KILL_AFTER_S)
            if support.has_trouble():
                record.write(f"SIGKILL {KILLED}")
                site.processes.kill(KILLED)
            played = [call.result() for call in calls]
            fresh = [
                threads.submit(_send, site, record, NODES[1 + number % 2], {})
                for number in range(10)
            ]
            begun = sum(call.result().status == 200 for call in fresh)
    taken_up = [tries for _, tries in played if tries]
    go_on = sum(tries[-1].status == 200 for tries in taken_up)
    record.result(
        f"streams {len(played)}, taken up again {len(taken_up)}, of these "
        f"went on {go_on}; of 10 new streams began {begun}"
    )
    if len(taken_up) < MIN_TAKEN_UP or not begun:
        return support.NOT_RUN
    is_broken = go_on / len(taken_up) < begun / 10 / 2
    return support.BROKEN if is_broken else support.HELD


if __name__ == "__main__":
    sys.exit(support.main(_run, __file__))
