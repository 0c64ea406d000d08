"""Command classes."""
