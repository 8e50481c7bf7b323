"""Reads the platform's list of VMs now and then."""

import asyncio
from collections.abc import Callable, Iterable
from random import Random

import msgspec

from chicoryshunt.connection.client import HttpClient
from chicoryshunt.connection.platform_api import PublishedVm, PublishedVms
from chicoryshunt.events import log_problem
from chicoryshunt.exceptions import ChicoryshuntError, PlatformError
from chicoryshunt.membership.membership import Membership
from chicoryshunt.nodes.links import Links
from chicoryshunt.nodes.pause import PauseDetector

_POLL_SECONDS = 5.0
_RETRY_SECONDS = 0.5
_SPREAD = 0.2


Subscriber = Callable[[Iterable[PublishedVm], float], None]


class VmListPoller:
    """Keeps membership and links to what the platform publishes."""

    def __init__(self, url: str, membership: Membership, links: Links) -> None:
        """Read the list at a base URL."""
        self._url = url
        self._membership = membership
        self._links = links
        self._is_read = False
        self._subscribers: list[Subscriber] = [membership.apply_vm_list]

    def subscribe(self, notify: Subscriber) -> None:
        """Call ``notify(vms, now)`` with each list that is read."""
        self._subscribers.append(notify)

    async def run(
        self, client: HttpClient, pause_detector: PauseDetector, rng: Random
    ) -> None:
        """Read the list for as long as the process lives."""
        while True:
            try:
                published = await read_vms(client, self._url)
            except ChicoryshuntError as error:
                log_problem('vm_list_unreadable', error=str(error))
            else:
                self.apply_vm_list(published, pause_detector.check())
            await asyncio.sleep(self._find_delay(rng))

    def apply_vm_list(self, published: PublishedVms, now: float) -> None:
        """Follow a list; an empty one is no list."""
        if not published.vms:
            log_problem('vm_list_empty')
            return
        self._is_read = True
        self._links.update_addresses(published.vms)
        for notify in self._subscribers:
            notify(published.vms, now)

    def _find_delay(self, rng: Random) -> float:
        is_published = self._membership.own in self._membership.roster.published
        if not (self._is_read and is_published):
            return _RETRY_SECONDS
        return _POLL_SECONDS * rng.uniform(1 - _SPREAD, 1 + _SPREAD)


async def read_vms(client: HttpClient, url: str) -> PublishedVms:
    """Read the list once; raise ``PlatformError`` when it is no list."""
    status, body = await client.read('GET', f'{url}/v1/vms')
    try:
        return msgspec.json.decode(body, type=PublishedVms)
    except msgspec.DecodeError as error:
        raise PlatformError(f'{url}: status {status}: {error}') from error
