"""Starts the command line."""

import sys

from azureline.ui import app


def main() -> None:
    """Runs the command that the arguments name."""
    app.build(sys.argv[1:])()


if __name__ == "__main__":
    main()
