"""The routing decisions: a policy that takes events and returns actions, without I/O."""
