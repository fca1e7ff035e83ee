"""The router's own core in a modelled environment: each act of a peer and each advance of time is a step.

The router itself is not modelled: its front end, sessions, channels, codecs, request handling and decision
module are the real code. The model replaces the sockets, the caches behind them, the clients, the change log,
the clock and the random source.
"""
