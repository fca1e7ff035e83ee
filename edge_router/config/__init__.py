"""The platform's configuration file, the settings it holds, and reloading it."""
