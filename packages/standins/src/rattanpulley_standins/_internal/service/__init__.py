"""Internals of the service subject."""
