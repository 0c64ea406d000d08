"""Decisions of an entry host that serves routes of three kinds."""
