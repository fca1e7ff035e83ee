"""Stand-ins for clients, caches, the change log and the platform, shared by the cases 6 to 10."""
