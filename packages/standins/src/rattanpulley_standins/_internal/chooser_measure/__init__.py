"""Comparison of the target choosers."""
