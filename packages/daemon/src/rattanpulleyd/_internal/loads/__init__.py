"""Polling of the targets' load reports."""
