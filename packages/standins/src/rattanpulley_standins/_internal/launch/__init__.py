"""Internals of the launch subject."""
