"""Measurements of the control costs: `python -m rattanpulley_standins.measure`.

It writes docs/measurements/capacity.json and capacity.svg, and renews the
generated part of docs/CAPACITY.md.
"""
