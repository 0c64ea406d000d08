"""Implementation of the service stand-in."""
