"""Version moves in the daemon: evidence, shares, verdicts."""
