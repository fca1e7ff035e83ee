"""Codecs: bytes to messages and back, without I/O."""
