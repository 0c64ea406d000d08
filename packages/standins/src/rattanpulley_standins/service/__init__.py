"""Runnable stand-in of a service that answers plain calls."""
