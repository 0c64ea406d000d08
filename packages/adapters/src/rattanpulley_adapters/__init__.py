"""Platform clients and peer codec, used by the daemon and the CLI."""
