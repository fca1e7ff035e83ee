"""Client sessions and upstream connections: state machines without I/O, and trio around them."""
