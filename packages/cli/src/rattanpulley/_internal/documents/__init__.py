"""Readers of table files and log files."""
