"""Output of the commands."""
