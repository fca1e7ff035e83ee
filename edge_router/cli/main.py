"""The commands of `edge-router`: the router, the model checker, the fault injection and a demonstration."""

from __future__ import annotations

import sys

import click

from edge_router.cli.explore import explore
from edge_router.cli.soak import soak


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def cli() -> None:
    """An edge router between web servers (FastCGI) and caches (RESP)."""


@cli.command()
def run() -> None:
    """Run one edge router, configured by the file that RELAY_CONFIG names."""
    from edge_router.server.main import main as serve

    sys.exit(serve())


@cli.command()
@click.option(
    "--requests",
    default=300,
    show_default=True,
    type=click.IntRange(10, 5000),
    help="Number of requests to send.",
)
def demo(requests: int) -> None:
    """Run the router with simulated backends: a drain, a purge, a cache failure and a shutdown."""
    from edge_router.cli.demo import run_demo

    sys.exit(run_demo(requests))


cli.add_command(explore)
cli.add_command(soak)


def main() -> None:
    """Entry point of the console script; exits with status 2 if the arguments are invalid."""
    cli()
