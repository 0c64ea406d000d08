"""Leases of key ranges with fencing, and grouped claims under them."""
