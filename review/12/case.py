"""RECOVER: one entry that is cut off hides all targets after a restart."""

import sys
import time

from review3 import deployment as deployment_lib
from review3 import recovery

# The first bytes of an entry, as a writer leaves them that was interrupted.
CUT_ENTRY = b'{"service":"inventory-agent","address":"127.0.0.1:80'


def play(deployment: deployment_lib.Deployment, has_trouble: bool) -> bool:
    """Plays the case; returns whether the rule held."""
    deployment.start()
    if has_trouble:
        deployment.platform.put_raw("servers", "inventory-1", CUT_ENTRY)
        deployment.log.write(f"another writer's entry {CUT_ENTRY!r}")
    time.sleep(1.0)
    return recovery.play(deployment, True)


if __name__ == "__main__":
    sys.exit(deployment_lib.run(play))
