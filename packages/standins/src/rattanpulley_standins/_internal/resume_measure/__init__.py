"""Internals of the measurement of resume latency."""
