"""Compares the target choosers in a simulation and with real processes."""
