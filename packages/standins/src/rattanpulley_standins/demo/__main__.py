"""Runs the demo; the exit status is 1 if an answer is not complete."""

from gevent import monkey

monkey.patch_all()

from rattanpulley_standins._internal.demo import command

if __name__ == "__main__":
    command.main()
