"""Measures the control costs: `python -m rattanpulley_standins.measure`.

Writes docs/measurements/capacity.json and capacity.svg, and updates the
generated section of docs/CAPACITY.md.
"""
