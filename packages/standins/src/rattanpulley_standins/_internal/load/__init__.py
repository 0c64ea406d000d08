"""Implementation of the load generator."""
