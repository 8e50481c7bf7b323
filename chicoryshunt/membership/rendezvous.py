"""Rendezvous hashing: all nodes rank VMs for a key in the same order."""

from collections.abc import Iterable

import xxhash

from chicoryshunt.types import VmId


def compute_weight(key: str, vm: VmId) -> int:
    """Return the weight of a VM for a key; the highest ranks first."""
    return xxhash.xxh3_64_intdigest(f'{key}\0{vm}'.encode())


def rank_vms(key: str, vms: Iterable[VmId]) -> list[VmId]:
    """Return the VMs ranked for a key, the preferred one first."""
    return sorted(vms, key=lambda vm: compute_weight(key, vm), reverse=True)
