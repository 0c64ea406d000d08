"""Runnable stand-in of the platform: object API and host list."""
