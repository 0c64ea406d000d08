"""Faults injected into a deployment, and what they cost."""
