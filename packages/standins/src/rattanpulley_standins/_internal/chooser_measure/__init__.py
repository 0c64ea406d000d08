"""Comparison of the choosers of targets."""
