"""What a request and its repeats have in common, whichever node they reach.

A caller's attempt has an id of its own, so a request that comes again is known
by who sent it, where it goes and what it carries.
"""

import hashlib

from azureline.relay import requests

# Bytes of each of the two digests of a content.
_DIGEST_BYTES = 8


def outline(request: requests.CallerRequest) -> bytes:
    """Returns a digest that takes no time for the body's bytes.

    Requests with different outlines have different contents.
    """
    head = b"\n".join(
        (
            request.caller.encode(),
            request.method,
            request.host.encode(),
            request.target,
            b"%d" % len(request.body),
        )
    )
    return hashlib.blake2b(head, digest_size=_DIGEST_BYTES).digest()


def content(request: requests.CallerRequest) -> bytes:
    """Returns the digest by which a request and its repeats are known."""
    body = hashlib.blake2b(request.body, digest_size=_DIGEST_BYTES).digest()
    return outline(request) + body


def outline_of(content: bytes) -> bytes:
    """Returns the outline of the requests with a content."""
    return content[:_DIGEST_BYTES]
