"""Reads what changes in the store: configuration, targets and hosts."""
