"""Internals of the load subject."""
