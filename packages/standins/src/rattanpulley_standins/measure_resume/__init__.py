"""Measures the latency and the token cost of resuming an answer."""
