"""Version moves in the daemon: evidence, traffic shares and verdicts."""
