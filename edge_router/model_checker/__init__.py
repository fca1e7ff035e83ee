"""The model checker: plays every order of events, within stated bounds, on the router's own code.

`scope` holds the bounds. `model` and `peers` simulate the router's clients, caches and change log, and
`properties` states what must hold. `fingerprint` and `visited` recognize states that were visited before,
`copying` restores a state, `search` and `walk` choose the order of steps, and `trace` and `chart` report a
violation. `codecs` and `channels` check the decoders and a single connection, and `mutations` plants faults
to test the checker itself. `explorations` runs all of these, and `reach` reports which lines were executed.
"""
