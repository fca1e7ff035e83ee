"""Runs real router and cache processes under injected faults; an oracle checks what was observed of them."""
