"""Decisions of an entry host for safe, unsafe and streaming routes."""
