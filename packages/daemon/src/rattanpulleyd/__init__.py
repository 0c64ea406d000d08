"""Entry daemon of rattanpulley, which routes requests to targets."""
