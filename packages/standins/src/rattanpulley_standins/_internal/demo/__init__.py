"""Implementation of the demo."""
