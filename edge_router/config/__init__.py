"""Reads the platform's configuration file and the settings in it, and reloads the file."""
