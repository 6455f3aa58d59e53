"""Rendezvous hashing: an order of servers for each content.

All nodes compute the same order without communication (Thaler and
Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998), so that
copies of a request that arrive through many nodes go to few servers.
"""

from collections.abc import Iterable
import hashlib


def rank(content: bytes, server: str) -> bytes:
    """Returns the rank of a server for a content; lower comes first."""
    return hashlib.blake2b(
        server.encode(), digest_size=8, key=content[:64]
    ).digest()


def ordered_servers(content: bytes, servers: Iterable[str]) -> list[str]:
    """Returns the servers in the order of their ranks for a content."""
    return sorted(servers, key=lambda server: rank(content, server))


def first_server(content: bytes, servers: Iterable[str]) -> str:
    """Returns the server with the lowest rank for a content."""
    return min(servers, key=lambda server: rank(content, server))
