"""Measures the processor time of the stream relay per token.

Run as `python -m tools.stream_bench`.
"""

import time

from azureline.routing import stream

_TOKENS = 200
_STREAMS = 1000


def _events(request_id: str) -> list[bytes]:
    body = (
        b'{"id":"%b","object":"chat.completion.chunk","choices":'
        b'[{"index":0,"delta":{"content":" token"}}]}'
    ) % request_id.encode()
    return [b"id: %d\ndata: %b\n\n" % (i, body) for i in range(_TOKENS)]


def per_token_s(events_per_read: int) -> float:
    """Returns the processor seconds per token of the relay alone.

    Args:
      events_per_read: number of events per chunk received from the engine.
    """
    name = "0192f0c1-0000-7000-8000-000000000000"
    events = _events(name)
    reads = [
        b"".join(events[i : i + events_per_read])
        for i in range(0, _TOKENS, events_per_read)
    ]
    start = time.process_time()
    for _ in range(_STREAMS):
        relay = stream.StreamRelay(0.0, name)
        for read in reads:
            relay.received(0.0, 1, read)
            relay.caller_progressed(0.0, 0)
    return (time.process_time() - start) / (_STREAMS * _TOKENS)


def main() -> None:
    """Prints the cost with one and with four events per read."""
    for count in (1, 4):
        cost_s = per_token_s(count)
        print(
            f"{count} events a read: {cost_s * 1e6:.2f} us a token,"
            f" {cost_s * 2500:.2%} of a core at 2,500 tokens/s"
        )


if __name__ == "__main__":
    main()
