"""Implementation of the coordination parts; may change without notice."""
