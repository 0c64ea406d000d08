"""Private modules; they may change without notice."""
