"""A stand-in for a plain service, whose requests are idempotent."""

from standins import ledger
from standins import options


def main(chosen: options.ServerOptions) -> None:
    """Runs the stand-in for a plain service until SIGTERM."""
    ledger.main(chosen, "service")


if __name__ == "__main__":
    options.run(main, options.ServerOptions)
