"""Tests of structured log lines: bounded, never blocking, complete."""

import json
import os

from azureline.util import events


def _lines(descriptor):
    os.set_blocking(descriptor, False)
    try:
        text = os.read(descriptor, 1 << 22).decode()
    except BlockingIOError:
        return []
    return [json.loads(line) for line in text.splitlines()]


def test_a_line_is_one_json_object_with_its_fields():
    reading, writing = os.pipe()
    log = events.setup(100, "front-1", writing)
    log.info("refused", request="r1", waited_s=0.25, detail="two\nlines")
    (line,) = _lines(reading)
    assert line["event"] == "refused" and line["node"] == "front-1"
    assert line["request"] == "r1" and line["waited_s"] == 0.25
    assert line["level"] == "INFO" and line["time"] > 1e9


def test_lines_beyond_the_rate_limit_are_counted():
    reading, writing = os.pipe()
    log = events.setup(10, "front-1", writing)
    for number in range(100):
        log.info("attempt", request=str(number))
    written = len(_lines(reading))
    assert 0 < written <= 30 and log.dropped == 100 - written
    log.warning("store_lost", reason="timeout")
    (line,) = _lines(reading)
    assert line["dropped"] == 100 - written and log.dropped == 0


def test_a_stalled_reader_does_not_block_the_log():
    reading, writing = os.pipe()
    log = events.setup(100000, "front-1", writing)
    for _ in range(5000):
        log.info("attempt", padding="x" * 200)
    assert log.dropped > 0
    os.close(reading)
