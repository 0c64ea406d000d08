"""Coordination parts for serving long generations on targets that fail.

The library does no I/O and reads no clock. Each part takes typed events and
the current time in monotonic seconds, and returns typed actions for the caller
to carry out. The public modules are listed in docs/design.md; everything below
`_internal` may change without notice.
"""
