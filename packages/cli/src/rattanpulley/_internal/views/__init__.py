"""Text for people."""
