"""HTTP clients of the platform."""
