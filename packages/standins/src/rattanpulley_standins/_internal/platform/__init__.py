"""Internals of the platform subject."""
