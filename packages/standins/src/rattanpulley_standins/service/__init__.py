"""Runnable stand-in of a service with non-streaming calls."""
