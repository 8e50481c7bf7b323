"""Times patches on nine real nodes while the platform and nodes fail."""

import json
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from lab.benchmarks.results import append_result
from lab.trials.failures import order_fault, set_weight
from lab.trials.fleet import run_fleet, send
from lab.trials.topology import TABLERO, Placed, UserFleet

_BOUND_SECONDS = 3
_LIMIT_SECONDS = 30
_POLL_SECONDS = 0.02
_SETTLE_SECONDS = 2
_FAULT_SECONDS = 5


def main() -> None:
    """Print the seconds of each case; exit 1 when one is over the bound."""
    with (
        tempfile.TemporaryDirectory() as folder,
        run_fleet(Path(folder)) as fleet,
    ):
        seconds = run_cases(UserFleet(fleet, TABLERO))
    print(json.dumps(seconds, indent=2))
    append_result(
        'config_nine_nodes',
        {'bound_seconds': _BOUND_SECONDS, 'seconds': seconds},
    )
    sys.exit(max(seconds.values()) > _BOUND_SECONDS)


def run_cases(user: UserFleet) -> dict[str, float]:
    """Return the seconds until a patch was in force on all live nodes."""
    seconds = {'quiet': _time_patch(user)}
    user.publisher.compact()
    seconds['compacted'] = _time_patch(user)
    with _fail_service(user, 'down'):
        time.sleep(_FAULT_SECONDS)
    seconds['after_outage'] = _time_patch(user)
    send(user.platform.config.url, 'POST', '/v1/snapshot')
    seconds['patched'] = _time_patch(user)
    with _fail_service(user, 'stale'):
        seconds['restarted_while_stale'] = _time_restart(user, user.nodes[1])
    with _fail_service(user, 'truncate'):
        time.sleep(_FAULT_SECONDS)
    seconds['after_truncation'] = _time_patch(user)
    for node in user.nodes[:2]:
        node.process.kill()
        node.process.wait()
    seconds['two_nodes_killed'] = _time_patch(user)
    return seconds


@contextmanager
def _fail_service(user: UserFleet, kind: str) -> Iterator[None]:
    url = user.platform.config.url
    order_fault(url, kind)
    try:
        yield
    finally:
        order_fault(url, 'none')


def _time_patch(user: UserFleet) -> float:
    time.sleep(_SETTLE_SECONDS)
    start = time.monotonic()
    set_weight(user, 2)
    _, log = user.publisher.read_log()
    return _wait_position(user, log.header.position + len(log.lines), start)


def _time_restart(user: UserFleet, node: Placed) -> float:
    position = _read_position(user.nodes[0])
    node.process.kill()
    node.process.wait()
    user.restart_node(node)
    return _wait_position(user, position, time.monotonic())


def _wait_position(user: UserFleet, position: int, start: float) -> float:
    while time.monotonic() - start < _LIMIT_SECONDS:
        live = [node for node in user.nodes if node.process.poll() is None]
        if all(_read_position(node) >= position for node in live):
            break
        time.sleep(_POLL_SECONDS)
    return round(time.monotonic() - start, 2)


def _read_position(node: Placed) -> int:
    return int(json.loads(send(node.url, 'GET', '/v1/config'))['position'])


if __name__ == '__main__':
    main()
