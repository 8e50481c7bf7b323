"""Reads the platform's store: a full read, then changes as they come."""

import asyncio
from collections.abc import Iterable
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import urlencode

import msgspec

from chicoryshunt.address import Address
from chicoryshunt.clock import Clock
from chicoryshunt.connection.upstream import (
    CallBounds,
    ConnectionLostError,
    NotSentError,
    OutgoingRequest,
    UpstreamPool,
)
from chicoryshunt.events import log_event, log_problem
from chicoryshunt.exceptions import ChicoryshuntError
from chicoryshunt.fleet.agent import FleetAgent
from chicoryshunt.fleet.catalog import PLATFORM_SOURCE, build_gone_fact
from chicoryshunt.fleet.catalog_sync import ReaderRole
from chicoryshunt.fleet.facts import (
    EvacuationFact,
    Fact,
    Revision,
    TargetFact,
)
from chicoryshunt.metrics import Metrics
from chicoryshunt.platform import items, wire

_PREFIXES = ('op/', items.TARGET_PREFIX)
# A watch returns with the first change, and targets write all the time: the
# pause bounds the calls to some five a second for each reader.
_PAUSE_SECONDS = 0.18
# A short wait tells a calm store from one that is away.
_WAIT_MILLISECONDS = 500
_READ_SECONDS = 0.9
_WATCH_SECONDS = 0.9
_IDLE_POLL_SECONDS = 0.1
_FIRST_RETRY_SECONDS = 0.15
_MOST_RETRY_SECONDS = 1.2
# Entries that lapsed during an outage are back this long after its end.
_RETURN_SECONDS = 2.5
_MOST_BYTES = 8388608
_IDLE_SECONDS = 5.0

_Read = TypeVar('_Read')


class StoreError(ChicoryshuntError):
    """The store did not answer as its page says."""


class HistoryGoneError(StoreError):
    """Changes were missed; everything has to be read again."""


class StoreClient:
    """Calls of the platform's store; it can only be read."""

    def __init__(
        self,
        address: Address,
        pool: UpstreamPool,
        metrics: Metrics,
    ) -> None:
        """Call the store at this address."""
        self._address = str(address)
        self._pool = pool
        self._metrics = metrics

    async def read_range(self, prefix: str, after: str) -> items.Page:
        """Return one page of the items under a prefix.

        ``after`` is the key that the page begins after, empty for the first.
        """
        query = {'prefix': prefix}
        if after:
            # The wire's name for this is that of a revision.
            query['since_revision'] = after
        return await self._call(
            wire.RANGE_PATH,
            query,
            items.Page,
            _READ_SECONDS,
        )

    async def watch(self, prefix: str, revision: int) -> items.Changes:
        """Return the changes after a revision, once there are any."""
        query = {
            'prefix': prefix,
            'since_revision': str(revision),
            'wait_ms': str(_WAIT_MILLISECONDS),
        }
        return await self._call(
            wire.WATCH_PATH,
            query,
            items.Changes,
            _WATCH_SECONDS,
        )

    async def _call(
        self,
        path: str,
        query: dict[str, str],
        kind: type[_Read],
        seconds: float,
    ) -> _Read:
        headers = [(wire.HOST, self._address.encode())]
        uri = f'{path}?{urlencode(query)}'.encode()
        self._metrics.count(
            'store_calls',
            'Calls of the platform store',
            path=path,
        )
        bounds = CallBounds(_IDLE_SECONDS, seconds, _MOST_BYTES)
        try:
            answer, body = await self._pool.call(
                self._address,
                OutgoingRequest(b'GET', uri, headers),
                bounds,
            )
        except (NotSentError, ConnectionLostError) as error:
            raise StoreError(str(error)) from error
        return _decode(answer.status, body, kind)


def _decode(status: int, body: bytes, kind: type[_Read]) -> _Read:
    if status == HTTPStatus.GONE:
        raise HistoryGoneError('the history is gone')
    if status != HTTPStatus.OK:
        raise StoreError(f'status {status}')
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as error:
        raise StoreError(f'unreadable answer: {error}') from error


class StoreReader:
    """Keeps the catalog as the store is, while this node has to read."""

    def __init__(
        self,
        client: StoreClient,
        fleet_agent: FleetAgent,
        clock: Clock,
    ) -> None:
        """Start with nothing read."""
        self._client = client
        self._catalog = fleet_agent.catalog
        self._feed = fleet_agent.catalog_sync
        self._fleet_agent = fleet_agent
        self._clock = clock
        self._revision = 0
        self._retry_seconds = _FIRST_RETRY_SECONDS
        self._failed_since: float | None = None
        self._trust_absence_from = float('-inf')
        self._returned_at: float | None = None

    async def run(self) -> None:
        """Read for as long as the process lives."""
        while True:
            if self._feed.decide_role(self._clock.now()) is ReaderRole.none:
                self._revision = 0
                await asyncio.sleep(_IDLE_POLL_SECONDS)
                continue
            try:
                await self._read_once()
            except HistoryGoneError:
                log_event('store_history_gone', revision=self._revision)
                self._revision = 0
            except StoreError as error:
                await self._note_failure(error)
            else:
                self._note_success()

    async def _read_once(self) -> None:
        if self._must_read_all():
            await self._read_all()
        else:
            await self._read_changes()
            await asyncio.sleep(_PAUSE_SECONDS)

    def _must_read_all(self) -> bool:
        if not self._revision or self._feed.needs_full_read:
            return True
        now = self._clock.now()
        return self._returned_at is not None and now >= self._returned_at

    async def _read_all(self) -> None:
        found: list[items.Item] = []
        revision = None
        for prefix in _PREFIXES:
            page_revision = await self._read_prefix(prefix, found)
            # Pages are no snapshot: changes after the first are read again.
            revision = page_revision if revision is None else revision
        self._revision = revision or 0
        now = self._clock.now()
        if self._returned_at is not None and now >= self._returned_at:
            self._returned_at = None
        self._take_all(found)
        self._feed.needs_full_read = False

    async def _read_prefix(
        self,
        prefix: str,
        found: list[items.Item],
    ) -> int:
        after = ''
        revision = None
        while True:
            page = await self._client.read_range(prefix, after)
            revision = page.current_rev if revision is None else revision
            found.extend(_decode_items(page.items))
            if not page.more_pages or not found:
                return revision
            after = found[-1].key

    async def _read_changes(self) -> None:
        changes = await self._client.watch('', self._revision)
        self._take(_decode_items(changes.events))
        self._revision = max(self._revision, changes.current_rev)

    def _take_all(self, found: list[items.Item]) -> None:
        self._take(found)
        if self._clock.now() < self._trust_absence_from:
            return
        keys = {item.key for item in found}
        revision = Revision(self._revision)
        absent: list[Fact] = [
            build_gone_fact(fact.target, revision)
            for fact in tuple(self._catalog.list_present())
            if f'{items.TARGET_PREFIX}{fact.target}' not in keys
        ]
        for fact in self._catalog.list_facts():
            if isinstance(fact, EvacuationFact) and fact.is_ordered:
                key = f'{items.EVACUATION_PREFIX}{fact.data_centre}'
                if key not in keys:
                    absent.append(
                        EvacuationFact(fact.data_centre, revision, False),
                    )
        self._believe(absent)

    def _take(self, changed: Iterable[items.Item]) -> None:
        facts = []
        for item in changed:
            fact = self._decode(item)
            if fact is not None:
                facts.append(fact)
        self._believe(facts)

    def _decode(self, item: items.Item) -> Fact | None:
        if item.key == items.CONFIG_KEY:
            self._take_rules(item)
        elif item.key.startswith(items.EVACUATION_PREFIX):
            return items.decode_evacuation(item)
        elif item.key.startswith(items.TARGET_PREFIX):
            return self._decode_target(item)
        return None

    def _decode_target(self, item: items.Item) -> TargetFact | None:
        target = items.get_target(item.key)
        revision = Revision(item.revision)
        if item.deleted:
            if self._clock.now() < self._trust_absence_from:
                # It may have lapsed while the store was away.
                return None
            return build_gone_fact(target, revision)
        fact = items.decode_target(item)
        if isinstance(fact, TargetFact):
            return fact
        log_problem('entry_unreadable', key=fact.key, reason=fact.reason)
        return build_gone_fact(target, revision)

    def _take_rules(self, item: items.Item) -> None:
        rules = items.decode_rules(item)
        if isinstance(rules, items.Unreadable):
            log_problem('rules_unreadable', reason=rules.reason)
        else:
            self._catalog.apply_rules(rules, PLATFORM_SOURCE)

    def _believe(self, facts: Iterable[Fact]) -> None:
        now = self._clock.now()
        news = [
            fact
            for fact in facts
            if self._catalog.apply(fact, now, PLATFORM_SOURCE)
        ]
        if news:
            self._fleet_agent.publish(news)

    async def _note_failure(self, error: StoreError) -> None:
        self._feed.record_failure(self._clock.now())
        if self._failed_since is None:
            self._failed_since = self._clock.now()
            log_problem('store_lost', error=str(error))
        await asyncio.sleep(self._retry_seconds)
        self._retry_seconds = min(
            self._retry_seconds * 2,
            _MOST_RETRY_SECONDS,
        )

    def _note_success(self) -> None:
        now = self._clock.now()
        if self._failed_since is not None:
            away = now - self._failed_since
            log_event('store_regained', away_seconds=away)
            self._trust_absence_from = now + _RETURN_SECONDS
            self._returned_at = self._trust_absence_from
            self._failed_since = None
            self._retry_seconds = _FIRST_RETRY_SECONDS
        self._feed.record_success(now)


def _decode_items(raw: Iterable[msgspec.Raw]) -> list[items.Item]:
    """Return the items that can be read; the others hold no fact."""
    decoded = []
    for one in raw:
        item = items.decode_item(one)
        if isinstance(item, items.Item):
            decoded.append(item)
        else:
            log_problem('item_unreadable', reason=item.reason)
    return decoded
