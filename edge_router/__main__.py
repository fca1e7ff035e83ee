"""`python -m edge_router`: runs one edge router or, with arguments, a command of `edge_router.cli`."""

import sys

if __name__ == "__main__":
    if len(sys.argv) > 1:
        from edge_router.cli.main import main as command_line

        command_line()
    else:
        from edge_router.server.startup import import_server

        sys.exit(import_server()())
