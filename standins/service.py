"""A stand-in for a plain service, whose calls may be repeated."""

import typer

from standins import ledger


def main(
    name: str = "service-1",
    domain: str = "d1",
    host: str = "127.0.0.1",
    port: int = 0,
    platform: str = "",
) -> None:
    """Runs the stand-in for a plain service until SIGTERM."""
    ledger.run("service", name, domain, host, port, platform)


if __name__ == "__main__":
    typer.run(main)
