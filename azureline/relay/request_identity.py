"""Identifies a request and its retries, whichever node receives them.

Each attempt of a caller has a new id, so a retry is recognized by its target
and body.  The address that it comes from is no part of the identity: a caller's
retries may come from other addresses.
"""

import hashlib

from azureline.relay import requests
from azureline.routing import signatures

# Callers choose the number of parts; the parts after these are not considered.
_MAX_PARTS = 16
# Bytes of each of the two digests in a content: outline and body.
_DIGEST_BYTES = 8


def outline_digest(request: requests.CallerRequest) -> bytes:
    """Returns a digest of everything but the bytes of the body.

    It is cheaper than `content_digest`.  Requests with different outlines have
    different contents.
    """
    fields = b"\n".join(
        (
            request.method,
            request.host.encode(),
            request.target,
            b"%d" % len(request.body),
        )
    )
    return hashlib.blake2b(fields, digest_size=_DIGEST_BYTES).digest()


def content_digest(request: requests.CallerRequest) -> bytes:
    """Returns the digest that a request and its retries share."""
    body = hashlib.blake2b(request.body, digest_size=_DIGEST_BYTES).digest()
    return outline_digest(request) + body


def outline_of(content: bytes) -> bytes:
    """Returns the outline that is part of a content."""
    return content[:_DIGEST_BYTES]


def part_signatures(request: requests.CallerRequest) -> tuple[bytes, ...]:
    """Returns the signatures of the parts that other prompts may share."""
    shared = request.shared_parts[:_MAX_PARTS]
    return tuple(signatures.part_signature(part.name) for part in shared)


def part_name(request: requests.CallerRequest, signature: bytes) -> str:
    """Returns the name of the part with a signature, or ""."""
    for part in request.shared_parts[:_MAX_PARTS]:
        if signatures.part_signature(part.name) == signature:
            return part.name
    return ""
