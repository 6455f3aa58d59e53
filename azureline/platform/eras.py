"""Eras of the platform's store, and revisions that are ordered across them.

The store can come back from an older copy.  It then gives out revisions again
that it has given out before, and its era rises by one.  A `position` orders
revisions first by era, so that no position is ever given out twice.
"""

# The era of a store that has never come back from a copy.
FIRST_ERA = 1
# Bits of a position for the revision within its era.
_REVISION_BITS = 40
# Positions up to this era fit into 63 bits.
MAX_ERA = 1 << 20


def position(era: int, revision: int) -> int:
    """Returns the position of a revision; a revision of 0 stays 0.

    In the first era positions equal revisions.
    """
    if not revision:
        return 0
    return ((era - FIRST_ERA) << _REVISION_BITS) + revision


def era_of(at: int) -> int:
    """Returns the era of a position."""
    return (at >> _REVISION_BITS) + FIRST_ERA


def revision_of(at: int) -> int:
    """Returns the revision of a position within its era."""
    return at & ((1 << _REVISION_BITS) - 1)


def parse_era(value: bytes) -> int | None:
    """Returns the era in a header's value, or None if it names none."""
    if not value.isdigit() or len(value) > len(str(MAX_ERA)):
        return None
    era = int(value)
    return era if FIRST_ERA <= era <= MAX_ERA else None
