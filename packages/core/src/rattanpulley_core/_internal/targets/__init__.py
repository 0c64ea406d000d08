"""Targets: table rows, selection, ejection and concurrency limits."""
