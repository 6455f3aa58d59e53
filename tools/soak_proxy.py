"""A loopback TCP proxy that injects connection faults."""

import contextlib
import random
import selectors
import socket
import threading
import time

_CHUNK = 65536
_POLL_S = 0.02


class FaultProxy:
    """Forwards bytes between clients and one server, with injected faults."""

    def __init__(self, host: str, target: tuple[str, int]):
        """Starts to listen on a loopback address.

        Args:
          host: address in 127.0.0.0/8.
          target: the server's address and port.
        """
        self._target = target
        self._listener = socket.create_server((host, 0), backlog=256)
        self._pairs: list[tuple[socket.socket, socket.socket]] = []
        # By id(); holds the pairs, so that their ids are not reused.
        self._silenced: dict[int, tuple[socket.socket, socket.socket]] = {}
        self._delay_s = 0.0
        self._drop_replies = False
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._reset_requested = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    @property
    def address(self) -> str:
        """The address that clients connect to."""
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    def set_delay(self, seconds: float) -> None:
        """Delays each chunk by a random time up to `seconds`; 0 ends it."""
        self._delay_s = seconds

    def reset(self) -> None:
        """Resets all open connections, in the proxy's own thread."""
        self._reset_requested.set()

    def _reset_all(self) -> None:
        self._reset_requested.clear()
        with self._lock:
            pairs, self._pairs = self._pairs, []
        for pair in pairs:
            for end in pair:
                with contextlib.suppress(OSError):
                    end.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
                    )
                end.close()

    def freeze_connections(self) -> None:
        """Stops forwarding on open connections for good; new ones work."""
        with self._lock:
            self._silenced.update({id(pair): pair for pair in self._pairs})

    def drop_replies(self, enabled: bool) -> None:
        """Starts or stops dropping the bytes that the server sends."""
        self._drop_replies = enabled

    def close(self) -> None:
        """Stops the proxy and resets its connections."""
        self._stopping.set()
        self._thread.join()
        self._listener.close()
        self._reset_all()

    def _run(self) -> None:
        while not self._stopping.is_set():
            if self._reset_requested.is_set():
                self._reset_all()
            with selectors.DefaultSelector() as selector:
                selector.register(self._listener, selectors.EVENT_READ, None)
                for pair in self._open_pairs():
                    selector.register(pair[0], selectors.EVENT_READ, pair)
                    selector.register(pair[1], selectors.EVENT_READ, pair)
                for key, _ in selector.select(_POLL_S):
                    if key.data is None:
                        self._accept()
                    else:
                        self._forward(key.fileobj, key.data)

    def _open_pairs(self) -> list[tuple[socket.socket, socket.socket]]:
        with self._lock:
            return [
                pair
                for pair in self._pairs
                if id(pair) not in self._silenced and pair[0].fileno() >= 0
            ]

    def _accept(self) -> None:
        client, _ = self._listener.accept()
        # The server may accept the connection before this thread continues.
        # The lock makes a `silence` at that time apply to it too.
        with self._lock:
            try:
                server = socket.create_connection(self._target, timeout=1.0)
            except OSError:
                client.close()
                return
            self._pairs.append((client, server))

    def _forward(
        self, source: socket.socket, pair: tuple[socket.socket, socket.socket]
    ) -> None:
        with self._lock:
            if id(pair) in self._silenced:
                return  # Silenced after the selector returned.
        client, server = pair
        other = server if source is client else client
        try:
            data = source.recv(_CHUNK)
            if self._delay_s:
                time.sleep(self._delay_s * random.random())
            if data and not (self._drop_replies and source is server):
                other.sendall(data)
        except OSError:
            data = b""
        if not data:
            with self._lock:
                if pair in self._pairs:
                    self._pairs.remove(pair)
            client.close()
            server.close()
