"""Settings file of the daemon."""
