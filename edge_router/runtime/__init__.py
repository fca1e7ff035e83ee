"""Clocks, timers, log, memory budget and CPU credit: used by all other packages. Nothing here blocks."""
