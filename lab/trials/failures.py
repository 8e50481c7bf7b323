"""Failures that a trial causes in a running fleet."""

import signal
import time

import msgspec

from lab.trials.fleet import send
from lab.trials.topology import Placed, UserFleet

ONE_HOUR = 3600


def pause(placed: Placed, seconds: float) -> None:
    """Stop a process for some seconds by signals."""
    process = placed.process
    process.send_signal(signal.SIGSTOP)
    time.sleep(seconds)
    process.send_signal(signal.SIGCONT)


def cut(user: UserFleet, left: list[str], right: list[str]) -> None:
    """Drop all traffic between two groups of nodes."""
    for node in user.nodes:
        if node.process.poll() is not None:
            continue
        others = right if node.name in left else left
        send(node.url, 'POST', '/v1/trial/cut', {'vms': others})


def order_fault(url: str, kind: str, seconds: float = ONE_HOUR) -> None:
    """Tell a stand-in to misbehave for some seconds."""
    send(url, 'POST', '/faults', {'kind': kind, 'seconds': seconds})


def set_weight(user: UserFleet, weight: float) -> None:
    """Publish a patch that changes a team."""
    user.publisher.submit([_build_weight(user, weight)])


def _build_weight(user: UserFleet, weight: float) -> dict[str, object]:
    return {
        'op': 'set_team',
        'name': user.plan.teams[0],
        'value': {'weight': weight},
    }


def build_weight_patch(user: UserFleet, base: int, weight: float) -> bytes:
    """Return a patch against a version that changes a team."""
    patch = {'base': base, 'operations': [_build_weight(user, weight)]}
    return msgspec.json.encode(patch)


def set_presence(user: UserFleet, data_centre: str, presence: str) -> None:
    """Publish a patch that takes a data centre out or back."""
    user.publisher.submit(
        [
            {
                'op': 'set_data_centre_presence',
                'name': data_centre,
                'presence': presence,
            },
        ],
    )
