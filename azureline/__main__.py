"""Entry point of the command line."""

import sys

from azureline.ui import app


def main() -> None:
    """Runs the command named by the arguments."""
    app.build(sys.argv[1:])()


if __name__ == "__main__":
    main()
