"""Caller API."""
