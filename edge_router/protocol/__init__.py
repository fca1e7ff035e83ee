"""Codecs of the network protocols, without I/O."""
