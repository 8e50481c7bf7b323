"""Reads the load reports of the targets that this node keeps."""

import asyncio
from collections.abc import Callable

import msgspec

from chicoryshunt.connection.client import HttpClient
from chicoryshunt.connection.target_api import LoadReport
from chicoryshunt.events import log_problem
from chicoryshunt.exceptions import ChicoryshuntError
from chicoryshunt.limits.keeping import Keeping
from chicoryshunt.nodes.pause import PauseDetector
from chicoryshunt.types import TargetId
from chicoryshunt.version.config import Config

_READ_SECONDS = 1.0
_TIMEOUT_SECONDS = 2.0

Subscriber = Callable[[TargetId, LoadReport, float], None]
LossSubscriber = Callable[[TargetId], None]


class LoadReader:
    """Polls engines; plain services report no load."""

    def __init__(self, keeping: Keeping, pause_detector: PauseDetector) -> None:
        """Start without a configuration."""
        self._keeping = keeping
        self._pause_detector = pause_detector
        self._config: Config | None = None
        self._subscribers: list[Subscriber] = []
        self._loss_subscribers: list[LossSubscriber] = []

    def apply_config(self, config: Config) -> None:
        """Follow the configuration."""
        self._config = config

    def subscribe(self, notify: Subscriber) -> None:
        """Call ``notify(target, report, now)`` with each report."""
        self._subscribers.append(notify)

    def subscribe_losses(self, notify: LossSubscriber) -> None:
        """Call ``notify(target)`` when a target does not answer."""
        self._loss_subscribers.append(notify)

    async def run(self, client: HttpClient) -> None:
        """Read for as long as the process lives."""
        while True:
            urls = self._list_urls()
            await asyncio.gather(
                asyncio.sleep(_READ_SECONDS),
                *(self._read(client, *found) for found in urls.items()),
            )

    def _list_urls(self) -> dict[TargetId, str]:
        if self._config is None:
            return {}
        targets = self._config.targets
        return {
            ledger.target: f'http://{targets[ledger.target].address}/load'
            for ledger in self._keeping
            if ledger.target in targets and targets[ledger.target].model
        }

    async def _read(
        self,
        client: HttpClient,
        target: TargetId,
        url: str,
    ) -> None:
        try:
            report = await _read_report(client, url)
        except (ChicoryshuntError, TimeoutError, msgspec.DecodeError) as error:
            log_problem('load_unreadable', target=target, error=str(error))
            for note_loss in self._loss_subscribers:
                note_loss(target)
            return
        now = self._pause_detector.check()
        self._keeping.take_load(target, report, now)
        for notify in self._subscribers:
            notify(target, report, now)


async def _read_report(client: HttpClient, url: str) -> LoadReport:
    async with asyncio.timeout(_TIMEOUT_SECONDS):
        _, body = await client.read('GET', url)
    return msgspec.json.decode(body, type=LoadReport)
