"""Client sessions and upstream connections: state machines without I/O, and their I/O with trio."""
