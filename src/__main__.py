"""Start of a process on the platform: ``python3 src front``."""

import signal
import sys

# Until its handler is installed, SIGHUP would end the process, which reads its settings
# at the start anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from lagoontide.platform.daemon import main

ROLES = ("front",)

if __name__ == "__main__":
    if sys.argv[1:] not in [[role] for role in ROLES]:
        sys.exit(f"usage: python3 src {'|'.join(ROLES)}; not {sys.argv[1:]!r}")
    main()
