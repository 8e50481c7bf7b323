"""Loopback addresses that no other process uses."""

import os
import socket
from collections.abc import Iterator
from contextlib import ExitStack

# Bound on the last address of a block for as long as the block is in use.
_CLAIM_PORT = 8739
_CLAIM_NUMBER = 254
_BLOCK_COUNT = 1 << 16
_SHARED_BLOCK = '127.0.0'


def take_host() -> str:
    """Return an address of 127.0.0.0/8 that was not taken before.

    A port of an address that others use may be one that a server has just left,
    and the clients of that server would reach what listens there next.
    """
    return next(_HOSTS)


def list_hosts(first: int) -> Iterator[str]:
    """Return addresses of unused blocks, from the block with this number."""
    for block in _claim_blocks(first):
        yield from (f'{block}.{number}' for number in range(1, _CLAIM_NUMBER))


def _claim_blocks(first: int) -> Iterator[str]:
    with ExitStack() as claims:
        for number in range(first, first + _BLOCK_COUNT):
            block = f'127.{number >> 8 & 255}.{number & 255}'
            claim = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            claims.enter_context(claim)
            try:
                claim.bind((f'{block}.{_CLAIM_NUMBER}', _CLAIM_PORT))
            except OSError:
                claim.close()
                continue
            if block != _SHARED_BLOCK:
                yield block


_HOSTS = list_hosts(os.getpid())
