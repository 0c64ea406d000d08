"""Targets: rows, choice, ejection and concurrency limits."""
