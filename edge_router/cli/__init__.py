"""The command line. A command imports what it needs when it runs, so that other commands start without it."""
