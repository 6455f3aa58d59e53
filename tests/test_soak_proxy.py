"""Tests of the soak test's proxy."""

import contextlib
import socket
import time

import pytest

from tools import soak_proxy


def _echo_pair():
    server = socket.create_server(("127.0.0.1", 0))
    proxy = soak_proxy.FaultProxy("127.0.0.1", server.getsockname())
    host, _, port = proxy.address.rpartition(":")
    return server, proxy, (host, int(port))


def _connect(server, address):
    client = socket.create_connection(address, timeout=2)
    server_end, _ = server.accept()
    server_end.settimeout(2)
    return client, server_end


def test_proxy_works_after_repeated_resets():
    server, proxy, address = _echo_pair()
    for _ in range(30):
        client, server_end = _connect(server, address)
        client.sendall(b"x")
        assert server_end.recv(1) == b"x"
        proxy.reset()
        client.settimeout(2)
        with contextlib.suppress(ConnectionResetError):
            assert client.recv(1) == b""
        client.close()
        server_end.close()
    proxy.close()
    server.close()


def test_connection_being_opened_is_silenced_too(monkeypatch):
    server, proxy, address = _echo_pair()
    connect = socket.create_connection

    def slow(target, *args, **kwargs):
        made = connect(target, *args, **kwargs)
        if target == server.getsockname():
            time.sleep(0.2)
        return made

    monkeypatch.setattr(socket, "create_connection", slow)
    client, server_end = _connect(server, address)
    proxy.freeze_connections()
    client.sendall(b"x")
    server_end.settimeout(0.5)
    with pytest.raises(TimeoutError):
        server_end.recv(1)
    for one in (client, server_end):
        one.close()
    proxy.close()
    server.close()


def test_silent_connections_stay_open_while_new_ones_work():
    server, proxy, address = _echo_pair()
    client, server_end = _connect(server, address)
    proxy.freeze_connections()
    time.sleep(0.1)
    client.sendall(b"x")
    server_end.settimeout(0.3)
    with pytest.raises(TimeoutError):
        server_end.recv(1)
    other, other_server_end = _connect(server, address)
    other.sendall(b"y")
    assert other_server_end.recv(1) == b"y"
    for one in (client, server_end, other, other_server_end):
        one.close()
    proxy.close()
    server.close()
