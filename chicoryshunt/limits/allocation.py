"""Division of slots among those who want them."""

from collections.abc import Hashable, Mapping, Sequence
from typing import TypeVar

_Key = TypeVar('_Key', bound=Hashable)


def allocate_fairly(
    total: int,
    demands: Mapping[_Key, int],
    order: Sequence[_Key],
) -> dict[_Key, int]:
    """Return max-min fair shares of whole slots.

    No key gets more than it demands. The remainder of an even division goes
    to the first keys of ``order``, which has every key of ``demands``.
    """
    shares = dict.fromkeys(order, 0)
    left = max(0, total)
    unsatisfied = [key for key in order if demands[key] > 0]
    while left and unsatisfied:
        each = max(1, left // len(unsatisfied))
        for claimant in unsatisfied[:left]:
            added = min(each, demands[claimant] - shares[claimant], left)
            shares[claimant] += added
            left -= added
        unsatisfied = [key for key in unsatisfied if shares[key] < demands[key]]
    return shares


def spread_evenly(
    total: int,
    shares: Mapping[_Key, int],
) -> dict[_Key, int]:
    """Return the shares, raised evenly by the rest of the total."""
    rest = max(0, total - sum(shares.values()))
    count = len(shares)
    return {
        key: share + rest * (index + 1) // count - rest * index // count
        for index, (key, share) in enumerate(shares.items())
    }
