"""Peer messages on the wire."""
