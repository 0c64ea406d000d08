"""Coordination library for serving long generations on unreliable targets.

The library does no I/O and reads no clock. Each component takes typed events
and the current time in monotonic seconds, and returns typed actions for the
caller to perform. The public modules are listed in docs/design.md; everything
below `_internal` may change without notice.
"""
