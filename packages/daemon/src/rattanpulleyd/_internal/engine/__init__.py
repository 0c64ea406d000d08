"""Client of the engines."""
