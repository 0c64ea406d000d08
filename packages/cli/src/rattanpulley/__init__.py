"""Command line of rattanpulley for operators."""
