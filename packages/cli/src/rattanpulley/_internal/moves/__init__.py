"""Edits of version moves, and the dates they use."""
