"""Starts one edge router: `python -m edge_router`. With arguments, the command line."""

import sys

if __name__ == "__main__":
    if len(sys.argv) > 1:
        from edge_router.cli.main import main as commands

        commands()
    else:
        from edge_router.server.server import main

        sys.exit(main())
