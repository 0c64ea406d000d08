"""Peer streams: msgpack messages over TCP."""
