"""Entry daemon of rattanpulley."""
