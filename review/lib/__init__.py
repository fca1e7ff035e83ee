"""Stand-ins of the review: clients, caches and a change log, on loopback addresses."""
