"""Bodies of answers that are collected as a whole."""

import io

# Limit of a body that is collected.
MAX_BODY_BYTES = 4 << 20
# Failure reason for a body over `MAX_BODY_BYTES`.
TOO_LARGE = "answer: too large"


class Body:
    """Collects the body of one answer, up to `MAX_BODY_BYTES`."""

    def __init__(self):
        # A buffer, as a list of small parts takes many times their size.
        self._data = io.BytesIO()

    def add(self, data: bytes) -> bool:
        """Adds a part; returns False if the body is too large."""
        if self._data.tell() + len(data) > MAX_BODY_BYTES:
            self._data = io.BytesIO()
            return False
        self._data.write(data)
        return True

    def content(self) -> bytes:
        """Returns the collected body."""
        return self._data.getvalue()
