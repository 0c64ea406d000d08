"""Implementation of the launcher."""
