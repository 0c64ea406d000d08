"""Peer runtime and its streams of msgpack messages over TCP."""
