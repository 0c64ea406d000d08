"""Compares the resume latency with two baselines and writes JSON."""

from gevent import monkey

monkey.patch_all()

from rattanpulley_standins._internal.resume_measure import command

if __name__ == "__main__":
    command.main()
