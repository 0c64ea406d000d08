"""Operators' command line of rattanpulley."""
