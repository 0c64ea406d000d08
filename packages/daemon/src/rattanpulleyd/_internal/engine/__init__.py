"""HTTP client for inference engines."""
