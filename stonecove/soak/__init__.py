"""A randomized fault soak: real router processes, faulty stand-ins around them, an oracle outside."""
