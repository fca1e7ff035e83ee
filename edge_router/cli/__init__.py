"""The command line. A command imports its modules when it is called, so that none loads those of another."""
