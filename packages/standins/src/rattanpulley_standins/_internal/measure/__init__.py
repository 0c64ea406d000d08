"""Measures the costs of the control work, for docs/CAPACITY.md."""
