"""Measures how soon a change of a table is in force and writes JSON."""

from gevent import monkey

monkey.patch_all()

from rattanpulley_standins._internal.measure import config_spread

if __name__ == "__main__":
    config_spread.main()
