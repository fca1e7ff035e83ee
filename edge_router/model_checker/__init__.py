"""The model checker: executes the router's own code in every order of events, within stated bounds.

- `scope` holds the bounds, and `model_settings` the router's settings.
- `model` and `peers` simulate the router's clients, caches and change log. `machine` is the interface between
  them and the search.
- `properties` states what must hold, and checks it on the records of `observations`.
- `search` and `walk` choose the order of steps. `expander` takes the steps of a state, `frontier` holds the
  states still to be expanded and saves them, and `results` holds counts and violations.
- `copying` restores a state; `fingerprint` and `visited` recognize states that were visited before.
- `trace` and `chart` report a violation.
- `codecs` and `channels` check the decoders and a single connection.
- `mutations` puts faults into the loaded router to test the checker itself.
- `explorations` runs all of these, and `reach` reports which lines were executed.
"""
