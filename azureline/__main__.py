"""Starts the command line."""

from azureline.ui import app


def main() -> None:
    """Runs the command that the arguments name."""
    app.build()()


if __name__ == "__main__":
    main()
