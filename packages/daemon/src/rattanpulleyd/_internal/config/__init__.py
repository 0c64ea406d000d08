"""Watches of the tables and of the host list."""
