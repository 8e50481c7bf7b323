"""A small fleet on loopback: one stream, one filing, the status."""

import subprocess
import sys
import tempfile
from pathlib import Path

from lab.trials.fleet import run_fleet
from lab.trials.topology import SMALL, UserFleet


def main() -> None:
    """Run the demo; exit 0 when the answer is whole."""
    with (
        tempfile.TemporaryDirectory() as folder,
        run_fleet(Path(folder)) as fleet,
    ):
        user = UserFleet(fleet, SMALL)
        nodes = f'--nodes={",".join(user.addresses)}'
        team = f'--team={SMALL.teams[0]}'
        statuses = [
            _run(
                'call',
                nodes,
                team,
                f'--model={SMALL.model}',
                '--prompt=length=40 annotate round 3',
            ),
            _run(
                'call',
                nodes,
                team,
                f'--service={SMALL.service}',
                '--key=pairing-17',
            ),
            _run('status', nodes),
        ]
    sys.exit(max(statuses))


def _run(*arguments: str) -> int:
    command = [sys.executable, '-m', 'chicoryshunt', *arguments]
    return subprocess.run(command, check=False).returncode


if __name__ == '__main__':
    main()
