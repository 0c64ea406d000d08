"""Fault injection into a deployment and the computation it costs."""
