"""The model checker: plays every order of events, within stated bounds, on the router's own code.

`scope` holds the bounds, `model` and `peers` are the router's modelled surroundings, `properties` what must
hold. `fingerprint` and `visited` tell states apart, `copying` restores one, `search` and `walk` choose the
order, `trace` and `chart` report what was found. `mutations` plants faults to test the checker itself,
`codecs` and `channels` are two smaller machines, and `reach` reports which lines were executed.
"""
