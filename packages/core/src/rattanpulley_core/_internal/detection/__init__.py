"""Detection of stalled streams and of lost targets."""
