"""Measures how soon a change of a table is active on every daemon.

`python -m rattanpulley_standins.measure_config` writes
docs/measurements/config.json.
"""
