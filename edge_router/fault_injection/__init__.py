"""Routers, caches and clients as real processes under injected faults, judged by an oracle."""
