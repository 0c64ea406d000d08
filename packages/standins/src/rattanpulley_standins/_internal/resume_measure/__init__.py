"""Measurement of the resume latency."""
