"""Simulated peers of one router on the loopback address: its caches and change log, and a client."""
