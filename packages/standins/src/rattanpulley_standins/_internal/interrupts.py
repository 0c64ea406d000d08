"""Handling of SIGINT and SIGTERM in gevent programs."""

import signal

import gevent

# Exit code after an interrupt: 128 and the number of SIGINT, as in shells.
EXIT_INTERRUPTED = 130


def interrupt_on_termination_signals() -> None:
    """Makes the first signal raise `KeyboardInterrupt` in this greenlet.

    An ordinary signal handler would raise it in whichever greenlet is running.
    Later signals are ignored, so that they cannot interrupt the shutdown of
    child processes.
    """
    main = gevent.getcurrent()
    received: list[int] = []

    def interrupt(number: int) -> None:
        if not received:
            gevent.kill(main, KeyboardInterrupt)
        received.append(number)

    for number in (signal.SIGINT, signal.SIGTERM):
        gevent.signal_handler(number, interrupt, number)
