"""The object that connects the core parts with the adapters."""
