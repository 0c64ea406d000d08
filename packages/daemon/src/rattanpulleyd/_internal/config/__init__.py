"""Table watch, host list poll and retry backoff."""
