"""Reads and conditional writes of the tables."""
