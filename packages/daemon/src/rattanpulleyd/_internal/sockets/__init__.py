"""Sockets whose reads share the process with all other connections."""
