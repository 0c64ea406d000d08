"""Measures how soon a change of a table is in force on every daemon.

`python -m rattanpulley_standins.measure_config` writes
docs/measurements/config.json.
"""
