"""Internals of the demo."""
