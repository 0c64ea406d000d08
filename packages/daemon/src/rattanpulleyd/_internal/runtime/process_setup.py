"""Settings of the operating system process and of its garbage collector."""

import gc
import resource

from rattanpulleyd._internal.api import admission

# Events and actions are freed by reference counting, so frequent passes of the
# garbage collector would find nothing to free.
GC_THRESHOLDS = (20_000, 20, 20)
# File descriptors for everything except the connections of requests.
RESERVED_FILE_DESCRIPTORS = 200


def raise_file_limit() -> None:
    """Raises the soft limit of open files as far as the hard limit allows.

    Each request in flight needs two connections.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    file_limit = 2 * admission.MAX_IN_FLIGHT + RESERVED_FILE_DESCRIPTORS
    if hard != resource.RLIM_INFINITY:
        file_limit = min(file_limit, hard)
    if soft != resource.RLIM_INFINITY and soft < file_limit:
        resource.setrlimit(resource.RLIMIT_NOFILE, (file_limit, hard))


def configure_garbage_collector() -> None:
    """Excludes the objects created at startup from garbage collection.

    A full collection over all modules would pause every stream.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
