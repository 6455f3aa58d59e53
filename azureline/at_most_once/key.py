"""Idempotency keys: UUIDs of version 7, which contain their creation time.

Records of keys are dropped after the retention period.  A key without a
record may therefore have run before, unless its creation time lies within
the retention period; older keys are refused as expired.

See RFC 9562, section 5.7.
"""

import hashlib
import random
import re
from typing import NamedTuple
import uuid

from azureline.core import errors

RETENTION_S = 900.0
MAX_FUTURE_S = 300.0
SLOTS = 2
DIGEST_BYTES = 8

_UUID7 = re.compile(
    "[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)
_RANDOM_BITS = 74
_RANDOM_B_BITS = 62
_VERSION = 7
_VARIANT = 0b10


class Key(NamedTuple):
    """A valid Idempotency-Key.

    Attributes:
      text: the key in its canonical form.
      issued_s: creation time in whole seconds since the Unix epoch.
    """

    text: str
    issued_s: int


def parse(
    text: str, wall_now: float, retention_s: float = RETENTION_S
) -> Key | errors.Refusal:
    """Parses and validates a caller's Idempotency-Key.

    Args:
      text: the value of the header.
      wall_now: seconds since the Unix epoch.
      retention_s: age in seconds from which keys are refused.
    """
    key = decode(text)
    if not key:
        return key
    if key.issued_s > wall_now + MAX_FUTURE_S:
        # A node whose clock is ahead may have accepted the key and run it.
        return errors.Refusal(
            errors.ErrorKind.KEY_INVALID,
            f"The key's time is over {MAX_FUTURE_S:.0f} s in the future",
            ran=errors.Ran.UNKNOWN,
        )
    if key.issued_s < wall_now - retention_s:
        return expired(retention_s)
    return key


def decode(text: str) -> Key | errors.Refusal:
    """Returns the key without checking its age, or a refusal."""
    canonical = text.lower()
    if not _UUID7.fullmatch(canonical):
        return errors.Refusal(
            errors.ErrorKind.KEY_INVALID,
            "The Idempotency-Key is not a UUID of version 7",
        )
    issued_ms = int(canonical[:8] + canonical[9:13], 16)
    return Key(canonical, issued_ms // 1000)


def expired(retention_s: float) -> errors.Refusal:
    """Returns the refusal of a key that is older than the retention."""
    return errors.Refusal(
        errors.ErrorKind.KEY_EXPIRED,
        f"Keys are kept for {retention_s:.0f} s; whether it ran is unknown",
    )


def issue(wall_now: float, rng: random.Random) -> str:
    """Makes a new key.

    Args:
      wall_now: seconds since the Unix epoch.
      rng: source of the key's 74 random bits.
    """
    bits = rng.getrandbits(_RANDOM_BITS)
    value = int(wall_now * 1000) << 80
    value |= _VERSION << 76
    value |= (bits >> _RANDOM_B_BITS) << 64
    value |= _VARIANT << 62
    value |= bits & ((1 << _RANDOM_B_BITS) - 1)
    return str(uuid.UUID(int=value))


def digest(caller: str, text: str) -> bytes:
    """Returns the digest of a caller's key; callers do not share digests."""
    name = caller.encode()
    data = len(name).to_bytes(4, "big") + name + text.encode()
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def slot(caller: str, text: str, slots: int = SLOTS) -> int:
    """Returns the number of the slot that a caller's key belongs to."""
    return int.from_bytes(digest(caller, text), "big") % slots
