"""The router's own core in a modelled environment, where every choice of a peer, and of time, is a step.

Nothing of the router is modelled: front, session and channel, codecs, stages and the decision module are the
program's own. Modelled are the sockets, the caches behind them, the clients, the change log and the clock.
"""
