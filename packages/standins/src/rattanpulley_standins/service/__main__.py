"""Runs the service stand-in: `--settings FILE`."""

from gevent import monkey

monkey.patch_all()

from rattanpulley_standins._internal import serving
from rattanpulley_standins._internal.service import app

if __name__ == "__main__":
    serving.main(app.run)
