"""Private modules of the package; they may change without notice."""
