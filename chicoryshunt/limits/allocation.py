"""Divides slots among those who want them."""

from collections.abc import Hashable, Mapping, Sequence
from typing import TypeVar

_Key = TypeVar('_Key', bound=Hashable)


def allocate_fairly(
    total: int,
    demands: Mapping[_Key, int],
    order: Sequence[_Key],
) -> dict[_Key, int]:
    """Return max-min fair shares of whole slots.

    Nobody gets more than it demands. What cannot be divided evenly goes to
    the first ones of ``order``, which names every key of ``demands``.
    """
    shares = dict.fromkeys(order, 0)
    left = max(0, total)
    wanting = [key for key in order if demands[key] > 0]
    while left and wanting:
        each = max(1, left // len(wanting))
        for one in wanting[:left]:
            given = min(each, demands[one] - shares[one], left)
            shares[one] += given
            left -= given
        wanting = [key for key in wanting if shares[key] < demands[key]]
    return shares


def spread_evenly(
    total: int,
    shares: Mapping[_Key, int],
) -> dict[_Key, int]:
    """Return the shares raised by what is left of a total, evenly."""
    rest = max(0, total - sum(shares.values()))
    count = len(shares)
    return {
        key: share + rest * (place + 1) // count - rest * place // count
        for place, (key, share) in enumerate(shares.items())
    }
