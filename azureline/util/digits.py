"""Parses numbers that other programs write as digits."""

# Longer numbers are no counts of this system, and slow to convert.
MAX_DIGITS = 15


def parse(value: bytes | str, max_digits: int = MAX_DIGITS) -> int | None:
    """Returns the number in ASCII digits, or None if it is none or too long."""
    if not value.isascii() or not value.isdigit() or len(value) > max_digits:
        return None
    return int(value)
