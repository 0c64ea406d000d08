"""Clients of the platform, shared by the daemon and the command line."""
