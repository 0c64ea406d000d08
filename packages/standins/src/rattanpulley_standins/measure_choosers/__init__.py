"""Measurement of the choosers of targets, simulated and with processes."""
