"""Router processes of an earlier build that are replaced by this one, one by one.

The server soak on a fleet that starts with the build of a commit. Routers are stopped
and started again with this build in turn, so that both work side by side for most of
a seed; some of those that still run the earlier build are killed meanwhile.

``python -m tests.upgrade_soak COMMIT --first 1 --seeds 20`` runs twenty seeds, one
after the other, and ends with 1 if one of them breaks a promise.
"""

from __future__ import annotations

import asyncio
import io
import signal
import subprocess
import sys
import tarfile
import tempfile
from pathlib import Path

from tests.router_soak import ROOT
from tests.router_soak import main as run_soak
from tests.server_soak import ServerSoak

FIRST_UPGRADE_S = 3.0  # From the beginning of the faults.
UPGRADE_GAP_S = 4.0


class UpgradeSoak(ServerSoak):
    """One seed of the server soak, during which all routers are upgraded."""

    n_disruptions = 1

    async def _inject_faults(self):
        upgrade = asyncio.create_task(self._upgrade())
        await super()._inject_faults()
        await upgrade

    async def _upgrade(self):
        """Stop the routers in turn, and start them again with this build."""
        await asyncio.sleep(FIRST_UPGRADE_S)
        for router in self.random.sample(self.routers, len(self.routers)):
            async with self._disrupt(self.router_disruptions[router.name]):
                router.root = ROOT
                await router.restart(signal.SIGTERM)
            await asyncio.sleep(UPGRADE_GAP_S)


def extract_build(commit, folder):
    """Extract the package of a commit from the repository's history."""
    archive = subprocess.run(
        ["git", "archive", commit, "bronzesail"],
        cwd=ROOT,
        capture_output=True,
        check=True,
    )
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as files:
        files.extractall(folder, filter="data")


def main():
    """Play seeds one after the other."""
    commit = sys.argv.pop(1)
    with tempfile.TemporaryDirectory() as folder:
        extract_build(commit, folder)
        UpgradeSoak.root = Path(folder)
        run_soak(UpgradeSoak, __doc__)


if __name__ == "__main__":
    main()
