"""Reads the configuration service and pulls from peers, as tasks."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from chicoryshunt.configuration.config_gossip import ConfigGossip
from chicoryshunt.configuration.config_messages import PULL
from chicoryshunt.configuration.log_importer import BaseNeeded, LogImporter, Use
from chicoryshunt.connection.platform import (
    Absence,
    ConfigService,
    PublishedValue,
)
from chicoryshunt.events import log_problem
from chicoryshunt.exceptions import PlatformError
from chicoryshunt.metrics import Metrics
from chicoryshunt.nodes.peers import PeerClient, PeerError
from chicoryshunt.version.published import LOG_KEY, LogHeader

WATCH_SECONDS = 2.0
PAUSE_SECONDS = 0.5
PULL_SECONDS = 5.0
_PULL_POLL_SECONDS = 0.05

Now = Callable[[], float]


@dataclass(slots=True)
class ServiceReader:
    """Watches the log while this node is a reader."""

    service: ConfigService
    importer: LogImporter
    metrics: Metrics
    now: Now
    pause_seconds: float = PAUSE_SECONDS
    _known: int | None = None

    async def run(self) -> None:
        """Read for as long as the process lives."""
        while True:
            if self.importer.readers.should_read(self.now()):
                await self.read_once()
            else:
                await asyncio.sleep(self.pause_seconds)

    async def read_once(self) -> None:
        """Wait for a change of the log and use it."""
        try:
            is_used = await self._watch()
        except PlatformError as error:
            self._count('failed')
            log_problem('platform_unreadable', error=error)
            is_used = False
        if not is_used:
            await asyncio.sleep(self.pause_seconds)

    async def _watch(self) -> bool:
        published = await self._read(LOG_KEY, self._known, WATCH_SECONDS)
        match published:
            case Absence.unchanged:
                self.importer.readers.record_read(self.now())
                return True
            case Absence.missing:
                return False
            case PublishedValue(revision=revision, text=text):
                if not await self._learn(text):
                    return False
                self._known = revision
        return True

    async def _learn(self, text: bytes) -> bool:
        use = self.importer.apply_log(text, self.now())
        if isinstance(use, BaseNeeded) and await self._read_base(use.header):
            use = self.importer.apply_log(text, self.now())
        return use is Use.whole

    async def _read_base(self, header: LogHeader) -> bool:
        values = []
        for key in header.keys:
            published = await self._read(key)
            if not isinstance(published, PublishedValue):
                return False
            values.append(published.text)
        return self.importer.apply_base(header, values)

    async def _read(
        self,
        key: str,
        known: int | None = None,
        wait: float = 0,
    ) -> PublishedValue | Absence:
        published = await self.service.read(key, known, wait)
        match published:
            case Absence():
                self._count(published.value)
            case PublishedValue():
                self._count('changed')
        return published

    def _count(self, outcome: str) -> None:
        self.metrics.count(
            'config_reads',
            'Reads of the configuration service, by outcome',
            outcome=outcome,
        )


async def pull_offers(spread: ConfigGossip, peers: PeerClient) -> None:
    """Pull from peers that offered, for as long as the process lives."""
    while True:
        peer = spread.take_offer()
        if peer is None:
            await asyncio.sleep(_PULL_POLL_SECONDS)
            continue
        try:
            answer = await peers.call(
                peer,
                PULL,
                spread.build_pull_request(),
                PULL_SECONDS,
            )
        except PeerError as error:
            log_problem('config_pull_failed', peer=peer, error=error)
            continue
        spread.apply_pull(peer, answer)
