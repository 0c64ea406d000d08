"""Runnable stand-in of an engine that generates tokens."""
