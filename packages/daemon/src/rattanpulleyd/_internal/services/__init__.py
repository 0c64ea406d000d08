"""HTTP client for plain services."""
