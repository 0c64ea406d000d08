"""At-most-once actions: claim, read-back, outcome and settlement."""
