"""A common order of servers for each content.

All nodes order the servers of one content alike without talking to each
other (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
Rates", 1998), so that copies of a request that come through many nodes meet
at few servers.
"""

from collections.abc import Iterable
import hashlib


def rank(content: bytes, server: str) -> bytes:
    """Returns the rank of a server for a content; lower comes first."""
    return hashlib.blake2b(
        server.encode(), digest_size=8, key=content[:64]
    ).digest()


def ordered(content: bytes, servers: Iterable[str]) -> list[str]:
    """Returns servers in their order for a content."""
    return sorted(servers, key=lambda server: rank(content, server))


def home(content: bytes, servers: Iterable[str]) -> str:
    """Returns the first server for a content."""
    return min(servers, key=lambda server: rank(content, server))
