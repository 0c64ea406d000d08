"""Measures how soon a change of a table is active and writes JSON."""

from gevent import monkey

monkey.patch_all()

from rattanpulley_standins._internal.measure import config_dissemination

if __name__ == "__main__":
    config_dissemination.main()
