"""Measurement of the resume latency and of what resuming costs."""
