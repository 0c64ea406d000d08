"""Internals of the engine subject."""
