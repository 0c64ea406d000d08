"""Limits of accounts."""
