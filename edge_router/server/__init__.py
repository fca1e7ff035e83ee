"""The process: startup, accepting clients, statistics and graceful shutdown."""
