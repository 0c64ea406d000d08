"""Edits of the move in a pool row."""
