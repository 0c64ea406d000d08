"""HTTP API for callers: generations, service calls and status."""
