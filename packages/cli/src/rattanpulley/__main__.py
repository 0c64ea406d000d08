"""Entry point of the `rattanpulley` command."""

import getpass
import os
import sys
import time
import uuid

from rattanpulley import exceptions
from rattanpulley._internal import application
from rattanpulley._internal.commands import base
from rattanpulley._internal.daemons import status
from rattanpulley_adapters import exceptions as adapter_exceptions
from rattanpulley_adapters import platform
from rattanpulley_core import interfaces


def open_store(url: str) -> interfaces.ObjectStore:
    """Returns a client of the object API at a base URL.

    Raises:
        UsageError: The URL is not a valid base URL.
    """
    try:
        return platform.HttpObjectStore(url)
    except adapter_exceptions.InvalidUrlError as error:
        raise exceptions.UsageError(
            f"{url!r} is not a valid base URL of the object API", error.hint
        ) from error


def main() -> int:
    """Runs the command given on the command line; returns its exit code."""
    services = base.Services(
        open_store=open_store,
        fetch_status=status.fetch,
        wall_s=time.time,
        new_id=lambda: uuid.uuid4().hex,
        sleep=time.sleep,
        environment=dict(os.environ),
        user=getpass.getuser(),
    )
    app = application.build(services)
    app.auto_exits(False)
    try:
        return int(app.run())
    except KeyboardInterrupt:
        # `watch` is normally ended with Ctrl-C.
        return 130


if __name__ == "__main__":
    sys.exit(main())
