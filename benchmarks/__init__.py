"""Benchmark programs. The last line of output is `key=value ...`; `--short` makes a run shorter."""
