"""Runs callers against daemons and prints a summary as JSON."""

from gevent import monkey

monkey.patch_all()

from rattanpulley_standins._internal.load import run

if __name__ == "__main__":
    run.main()
