"""Implementation of the engine stand-in."""
