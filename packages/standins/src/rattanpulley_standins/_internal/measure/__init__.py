"""Measurements of the control costs, for docs/CAPACITY.md."""
