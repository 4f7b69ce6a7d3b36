"""Runs an entry with the platform's settings, store and field codec."""

import os
import signal
import sys
from pathlib import Path

if __name__ == "__main__":
    # As in src/__main__.py.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from lagoontide.gateway.daemon import run_gateway
from lagoontide.gateway.platform import Platform
from lagoontide.gateway.settings import GatewaySettings
from lagoontide.gateway.store_view import Decoders
from lagoontide.lifecycle import run_daemon
from lagoontide.platform.configuration import CONFIGURATION_KEY, decode_config
from lagoontide.platform.directory import (
    decode_target,
    evacuated_domain,
    target_id,
)
from lagoontide.platform.fields import PlatformFieldCodec
from lagoontide.platform.pieces import PlatformPieceClient
from lagoontide.platform.settings import SETTINGS_ENV_VAR, load_platform_settings
from lagoontide.platform.store import PlatformStore

__all__ = ["main", "make_platform", "run_platform_entry"]

READY_PATH = b"/lagoontide/ready"


async def run_platform_entry() -> int:
    """Run an entry until SIGTERM or SIGINT; return the exit code."""
    path = Path(os.environ[SETTINGS_ENV_VAR])
    return await run_gateway(lambda: load_platform_settings(path), make_platform)


def main() -> None:
    """Run an entry with the settings file that ``LAGOONTIDE_CONFIG`` names."""
    sys.exit(run_daemon(run_platform_entry()))


def make_platform(cfg: GatewaySettings) -> Platform:
    """Return the adapters through which an entry talks to the platform."""
    return Platform(
        store=PlatformStore(*cfg.store),
        field_codec=PlatformFieldCodec(),
        decoders=Decoders(
            CONFIGURATION_KEY, decode_config, target_id, decode_target, evacuated_domain
        ),
        make_piece_client=lambda pools, shares, endings, directory: PlatformPieceClient(
            pools.pool_of, shares, endings, directory
        ),
        ready_path=READY_PATH,
    )


if __name__ == "__main__":
    main()
