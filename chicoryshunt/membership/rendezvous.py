"""Rendezvous hashing: every node ranks the same VMs the same way."""

from collections.abc import Iterable

import xxhash

from chicoryshunt.types import VmId


def compute_weight(key: str, vm: VmId) -> int:
    """Return the weight of a VM for a key; the highest comes first."""
    return xxhash.xxh3_64_intdigest(f'{key}\0{vm}'.encode())


def rank_vms(key: str, vms: Iterable[VmId]) -> list[VmId]:
    """Return VMs in the order in which they serve a key."""
    return sorted(vms, key=lambda vm: compute_weight(key, vm), reverse=True)
