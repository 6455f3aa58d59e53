"""Continuous batching: streams that advance together, one timer for all."""

import collections
from collections.abc import Callable
import heapq
import itertools
import json
from typing import Any

from twisted.internet import task

from standins import options

# Retention of a stream after it is disconnected or finished.
RETENTION_S = 10.0


class Stream:
    """One generation and the connection that reads it, if any."""

    def __init__(
        self, call: dict[str, Any], tokens: list[str], cache_bytes: int
    ):
        self.request_id: str = call["request_id"]
        self.model: str = call["model"]
        self.priority = int(call.get("priority", 1))
        self.prefix: str = call.get("prefix") or ""
        self.cache_bytes = cache_bytes
        self.first_token_at = 0.0
        self.produced = 0
        self.expires_at: float | None = None
        self._sink: Any = None
        self._tokens = tokens
        chunk = json.dumps(
            {
                "id": self.request_id,
                "object": "chat.completion.chunk",
                "model": self.model,
                "choices": [
                    {"index": 0, "delta": {"content": "@"}, "finish_reason": 0}
                ],
            },
            separators=(",", ":"),
        )
        self._head, tail = chunk.rsplit("@", 1)
        self._tail = tail.replace(":0}", ":null}")
        self._last = tail.replace(":0}", ':"stop"}')

    @property
    def finished(self) -> bool:
        """Whether every token has been produced."""
        return self.produced >= len(self._tokens)

    @property
    def attached(self) -> bool:
        """Whether a connection reads the stream."""
        return self._sink is not None

    def attach(self, sink: Any, offset: int) -> None:
        """Sends past events from `offset` on, and later ones, to a request."""
        self._sink = sink
        events = map(self._event, range(offset + 1, self.produced + 1))
        sink.write(b"".join(events))
        self._end_if_finished()

    def detach(self, sink: Any) -> bool:
        """Removes a closed connection; False if another one has replaced it."""
        if self._sink is not sink:
            return False
        self._sink = None
        return True

    def abort_connection(self) -> None:
        """Aborts the stream's connection without the end marker."""
        if self._sink is not None:
            self._sink.transport.abortConnection()

    def produce(self) -> None:
        """Generates one token."""
        self.produced += 1
        if self._sink is not None:
            self._sink.write(self._event(self.produced))
            self._end_if_finished()

    def _event(self, number: int) -> bytes:
        """Returns a token's event; `number` is from 1 and event ids from 0."""
        tail = self._last if number == len(self._tokens) else self._tail
        data = self._head + self._tokens[number - 1] + tail
        return f"id: {number - 1}\ndata: {data}\n\n".encode()

    def _end_if_finished(self) -> None:
        if self.finished and self._sink is not None:
            sink, self._sink = self._sink, None
            sink.write(b"data: [DONE]\n\n")
            sink.finish()


class Batch:
    """The streams of one engine."""

    def __init__(
        self,
        reactor: Any,
        engine_options: options.EngineOptions,
        on_released: Callable[[], None],
    ):
        """Creates an empty batch.

        Args:
          reactor: source of time and timers.
          engine_options: the engine's options: token rate and limits.
          on_released: called when streams have ended and freed their cache.
        """
        self._reactor = reactor
        self._options = engine_options
        self._on_released = on_released
        self._streams: dict[str, Stream] = {}
        self._running: dict[str, Stream] = {}
        self._queue: list[tuple[int, int, Stream]] = []
        self._arrival_numbers = itertools.count()
        self._prefixes: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._step_timer = task.LoopingCall(self._step)
        self._step_timer.clock = reactor

    @property
    def running(self) -> int:
        """The number of streams that are generating."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """The number of queued streams."""
        return len(self._queue)

    @property
    def cache_bytes(self) -> int:
        """Memory in bytes that unfinished streams hold."""
        waiting = sum(entry[2].cache_bytes for entry in self._queue)
        running = sum(s.cache_bytes for s in self._running.values())
        return waiting + running

    def is_model_in_use(self, model: str) -> bool:
        """Whether an unfinished stream uses the model."""
        waiting = (entry[2] for entry in self._queue)
        return any(
            s.model == model for s in (*self._running.values(), *waiting)
        )

    def add(self, stream: Stream) -> None:
        """Queues a stream and starts it if the batch is not full."""
        self._streams[stream.request_id] = stream
        entry = (stream.priority, next(self._arrival_numbers), stream)
        heapq.heappush(self._queue, entry)
        self._admit(self._reactor.seconds())
        if not self._step_timer.running:
            self._step_timer.start(1 / self._options.tokens_per_s, now=False)

    def get(self, request_id: str) -> Stream | None:
        """Returns a stream unless it is unknown or has expired."""
        return self._streams.get(request_id)

    def detach(self, stream: Stream, sink: Any) -> None:
        """Handles the close of a connection; the stream goes on generating."""
        if stream.detach(sink):
            stream.expires_at = self._reactor.seconds() + RETENTION_S

    def cancel(self, request_id: str) -> bool:
        """Drops a stream and frees its memory; False if unknown."""
        stream = self._streams.pop(request_id, None)
        if stream is None:
            return False
        self._running.pop(request_id, None)
        self._queue = [e for e in self._queue if e[2] is not stream]
        heapq.heapify(self._queue)
        stream.abort_connection()
        self._on_released()
        return True

    def abort_connections(self) -> None:
        """Aborts the connections of all streams, which go on generating."""
        for stream in list(self._streams.values()):
            stream.abort_connection()

    def close(self) -> None:
        """Stops the timer."""
        if self._step_timer.running:
            self._step_timer.stop()

    def _admit(self, now: float) -> None:
        while self._queue and len(self._running) < self._options.max_running:
            stream = heapq.heappop(self._queue)[2]
            wait_s = self._options.first_token_ms / 1000
            if self._use_prefix(stream.prefix):
                wait_s /= 3
            stream.first_token_at = now + wait_s
            self._running[stream.request_id] = stream

    def _use_prefix(self, prefix: str) -> bool:
        if not prefix:
            return False
        hit = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > self._options.prefix_slots:
            self._prefixes.popitem(last=False)
        return hit

    def _step(self) -> None:
        now = self._reactor.seconds()
        finished_count = 0
        for stream in list(self._running.values()):
            if now < stream.first_token_at:
                continue
            stream.produce()
            if stream.finished:
                finished_count += 1
                del self._running[stream.request_id]
                stream.expires_at = now + RETENTION_S
        if finished_count:
            self._on_released()
        self._drop_expired(now)
        self._admit(now)
        if not self._streams:
            self._step_timer.stop()

    def _drop_expired(self, now: float) -> None:
        for stream in list(self._streams.values()):
            if stream.expires_at is None or now < stream.expires_at:
                continue
            if stream.attached and not stream.finished:
                stream.expires_at = None
            else:
                self.cancel(stream.request_id)
