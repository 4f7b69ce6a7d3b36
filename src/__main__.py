"""Start of a process on the platform: ``python3 -S src/__main__.py front``."""

# The module that ``signal`` wraps, which takes far less time to import.
import _signal  # type: ignore[import-not-found]

# Until its handler is installed, SIGHUP would end the process, which reads its settings
# at the start anyway.
_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

import sys
from pathlib import Path

# The build's folder comes first, so that no other version of a library is used.
DEPS = Path(__file__).resolve().parent.parent / "target" / "deps"
if DEPS.is_dir() and str(DEPS) not in sys.path:
    sys.path.insert(1, str(DEPS))

from lagoontide.platform.daemon import main

ROLES = ("front",)

if __name__ == "__main__":
    if sys.argv[1:] not in [[role] for role in ROLES]:
        sys.exit(f"usage: python3 src {'|'.join(ROLES)}; not {sys.argv[1:]!r}")
    main()
