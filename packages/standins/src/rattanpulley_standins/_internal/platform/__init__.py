"""Implementation of the platform stand-in."""
