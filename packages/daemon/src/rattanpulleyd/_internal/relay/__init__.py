"""Forwards the requests of a deployment's clients to targets."""
