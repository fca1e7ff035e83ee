"""The router process: startup, accepting clients, statistics, reloads and graceful shutdown."""
