"""A loopback proxy that harms connections on request."""

import contextlib
import random
import selectors
import socket
import threading
import time

_CHUNK = 65536
_POLL_S = 0.02


class Proxy:
    """Passes bytes between clients and one server until told otherwise."""

    def __init__(self, host: str, target: tuple[str, int]):
        """Starts to listen on a loopback address.

        Args:
          host: address in 127.0.0.0/8.
          target: the server's address and port.
        """
        self._target = target
        self._listener = socket.create_server((host, 0), backlog=256)
        self._pairs: list[tuple[socket.socket, socket.socket]] = []
        # By identity; kept, so that no later pair gets the same one.
        self._silent: dict[int, tuple[socket.socket, socket.socket]] = {}
        self._delay_s = 0.0
        self._one_way = False
        self._lock = threading.Lock()
        self._ended = threading.Event()
        self._reset_asked = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    @property
    def address(self) -> str:
        """The address that clients connect to."""
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    def delay(self, seconds: float) -> None:
        """Holds up each piece of bytes."""
        self._delay_s = seconds

    def reset(self) -> None:
        """Resets all open connections, from the proxy's own thread."""
        self._reset_asked.set()

    def _reset_all(self) -> None:
        self._reset_asked.clear()
        with self._lock:
            pairs, self._pairs = self._pairs, []
        for pair in pairs:
            for end in pair:
                with contextlib.suppress(OSError):
                    end.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
                    )
                end.close()

    def silence(self) -> None:
        """Makes open connections silent for good; new ones work."""
        with self._lock:
            self._silent.update({id(pair): pair for pair in self._pairs})

    def one_way(self, cut: bool) -> None:
        """Drops what the server says, or ceases to."""
        self._one_way = cut

    def close(self) -> None:
        """Ends the proxy."""
        self._ended.set()
        self._thread.join()
        self._listener.close()
        self._reset_all()

    def _run(self) -> None:
        while not self._ended.is_set():
            if self._reset_asked.is_set():
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
                        self._pass_on(key.fileobj, key.data)

    def _open_pairs(self) -> list[tuple[socket.socket, socket.socket]]:
        with self._lock:
            return [
                pair
                for pair in self._pairs
                if id(pair) not in self._silent and pair[0].fileno() >= 0
            ]

    def _accept(self) -> None:
        client, _ = self._listener.accept()
        # The server may see the connection before this thread goes on: what
        # befalls all connections then must befall this one too.
        with self._lock:
            try:
                server = socket.create_connection(self._target, timeout=1.0)
            except OSError:
                client.close()
                return
            self._pairs.append((client, server))

    def _pass_on(
        self, source: socket.socket, pair: tuple[socket.socket, socket.socket]
    ) -> None:
        with self._lock:
            if id(pair) in self._silent:
                return  # Since the selector has seen its bytes.
        client, server = pair
        other = server if source is client else client
        try:
            data = source.recv(_CHUNK)
            if self._delay_s:
                time.sleep(self._delay_s * random.random())
            if data and not (self._one_way and source is server):
                other.sendall(data)
        except OSError:
            data = b""
        if not data:
            with self._lock:
                if pair in self._pairs:
                    self._pairs.remove(pair)
            client.close()
            server.close()
