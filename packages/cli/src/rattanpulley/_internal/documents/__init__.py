"""Table files on the operator's disk."""
