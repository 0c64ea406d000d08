"""Demo: long answers while engines and a daemon fail."""
