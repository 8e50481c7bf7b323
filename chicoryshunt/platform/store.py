"""Reads the platform's store: first all items, then their changes."""

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
from chicoryshunt.failures import contain_failure
from chicoryshunt.fleet.agent import FleetAgent
from chicoryshunt.fleet.catalog import (
    PLATFORM_SOURCE,
    build_gone_fact,
    get_key,
)
from chicoryshunt.fleet.catalog_sync import ReaderRole
from chicoryshunt.fleet.facts import (
    EvacuationFact,
    Fact,
    Revision,
    TargetFact,
)
from chicoryshunt.metrics import Metrics
from chicoryshunt.platform import items, wire
from chicoryshunt.platform.documents import Undecodable, decode_document

_PREFIXES = ('op/', items.TARGET_PREFIX)
# A watch returns at the first change, and targets write all the time. The
# pause limits each reader to about five calls per second.
_PAUSE_SECONDS = 0.18
# A short wait distinguishes a store without changes from one that is down.
_WAIT_MILLISECONDS = 500
_READ_SECONDS = 0.9
_WATCH_SECONDS = 0.9
_IDLE_POLL_SECONDS = 0.1
_FIRST_RETRY_SECONDS = 0.15
_MAX_RETRY_SECONDS = 1.2
# Entries that expired during an outage are written again by this time
# after its end.
_REWRITE_SECONDS = 2.5
_MAX_ANSWER_BYTES = 8388608
_KEEP_IDLE_SECONDS = 5.0

_Read = TypeVar('_Read')


class StoreError(ChicoryshuntError):
    """The store was unreachable or its answer was invalid."""


class HistoryGoneError(StoreError):
    """Changes were missed; all items must be read again."""


class StoreClient:
    """Read-only client of the platform's store."""

    def __init__(
        self,
        address: Address,
        pool: UpstreamPool,
        metrics: Metrics,
    ) -> None:
        """Create a client of the store at ``address``."""
        self._address = str(address)
        self._pool = pool
        self._metrics = metrics

    async def read_range(
        self, prefix: str, after: str, *, may_be_stale: bool
    ) -> items.Page:
        """Return one page of the items under a prefix.

        ``after`` is the last key of the previous page, empty for the first.
        A page that may be stale is some seconds old, and costs the store a
        tenth.
        """
        query = {'prefix': prefix}
        if may_be_stale:
            query['allow_stale'] = '1'
        if after:
            # Despite its name on the wire, this parameter holds a key here.
            query['since_revision'] = after
        return await self._call(
            wire.RANGE_PATH,
            query,
            items.Page,
            _READ_SECONDS,
        )

    async def watch(self, prefix: str, revision: int) -> items.Changes:
        """Return the changes after a revision; wait shortly for the first."""
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
        bounds = CallBounds(_KEEP_IDLE_SECONDS, seconds, _MAX_ANSWER_BYTES)
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
    decoded = decode_document(body, kind)
    if isinstance(decoded, Undecodable):
        raise StoreError(f'unreadable answer: {decoded.reason}')
    return decoded


class StoreReader:
    """Updates the catalog from the store while this node is a reader."""

    def __init__(
        self,
        client: StoreClient,
        fleet_agent: FleetAgent,
        clock: Clock,
    ) -> None:
        """Create a reader that has read nothing yet."""
        self._client = client
        self._catalog = fleet_agent.catalog
        self._catalog_sync = fleet_agent.catalog_sync
        self._fleet_agent = fleet_agent
        self._clock = clock
        self._revision = 0
        self._retry_seconds = _FIRST_RETRY_SECONDS
        self._failed_since: float | None = None
        self._trust_absence_from = float('-inf')
        self._reread_at: float | None = None

    async def run(self) -> None:
        """Read until the process ends."""
        while True:
            if (
                self._catalog_sync.decide_role(self._clock.now())
                is ReaderRole.none
            ):
                self._revision = 0
                await asyncio.sleep(_IDLE_POLL_SECONDS)
                continue
            await self._read_safely()

    async def _read_safely(self) -> None:
        """Read once, and record whether the store answered."""
        try:
            await self._read_once()
        except HistoryGoneError:
            log_event('store_history_gone', revision=self._revision)
            self._revision = 0
        except StoreError as error:
            await self._record_failure(error)
        except Exception as error:
            log_problem('store_read_failed', error=repr(error))
            # What was read may be applied in part only.
            self._revision = 0
            await self._record_failure(StoreError(repr(error)))
        else:
            self._record_success()

    async def _read_once(self) -> None:
        if self._must_read_all():
            await self._read_all()
        else:
            await self._read_changes()
            await asyncio.sleep(_PAUSE_SECONDS)

    def _must_read_all(self) -> bool:
        if not self._revision or self._catalog_sync.needs_full_read:
            return True
        now = self._clock.now()
        return self._reread_at is not None and now >= self._reread_at

    async def _read_all(self) -> None:
        """Read all items; what is stale is corrected at once.

        Load pattern: hundreds of nodes start together, and each reads. After
        a start, a reader watches from the revision that it read, and the
        other nodes compare their facts with those of the readers.
        """
        may_be_stale = self._catalog_sync.needs_full_read
        found: list[items.Item] = []
        revision = None
        for prefix in _PREFIXES:
            page_revision = await self._read_prefix(
                prefix, found, may_be_stale=may_be_stale
            )
            # Pages are not a snapshot, so the watch starts from the first
            # revision and reads later changes again.
            revision = page_revision if revision is None else revision
        self._revision = revision or 0
        now = self._clock.now()
        if self._reread_at is not None and now >= self._reread_at:
            self._reread_at = None
        self._apply_full_read(found)
        self._catalog_sync.needs_full_read = False

    async def _read_prefix(
        self,
        prefix: str,
        found: list[items.Item],
        *,
        may_be_stale: bool,
    ) -> int:
        after = ''
        revision = None
        while True:
            page = await self._client.read_range(
                prefix, after, may_be_stale=may_be_stale
            )
            revision = page.current_rev if revision is None else revision
            readable = _decode_items(page.items)
            found.extend(readable)
            if not page.more_pages:
                return revision
            if not readable or readable[-1].key <= after:
                raise StoreError(
                    f'the page of {prefix!r} after {after!r} has no next key'
                )
            after = readable[-1].key

    async def _read_changes(self) -> None:
        changes = await self._client.watch('', self._revision)
        self._apply_items(_decode_items(changes.events))
        self._revision = max(self._revision, changes.current_rev)

    def _apply_full_read(self, found: list[items.Item]) -> None:
        self._apply_items(found)
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
        self._apply_facts(absent)

    def _apply_items(self, changed: Iterable[items.Item]) -> None:
        facts = []
        for item in changed:
            with contain_failure('item_failed', key=item.key):
                fact = self._decode(item)
                if fact is not None:
                    facts.append(fact)
        self._apply_facts(facts)

    def _decode(self, item: items.Item) -> Fact | None:
        if item.key == items.CONFIG_KEY:
            self._apply_rules(item)
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
                # The entry may have expired while the store was down.
                return None
            return build_gone_fact(target, revision)
        fact = items.decode_target(item)
        if isinstance(fact, TargetFact):
            return fact
        log_problem('entry_unreadable', key=fact.key, reason=fact.reason)
        return build_gone_fact(target, revision)

    def _apply_rules(self, item: items.Item) -> None:
        rules = items.decode_rules(item)
        if isinstance(rules, items.Unreadable):
            log_problem('rules_unreadable', reason=rules.reason)
        else:
            self._catalog.apply_rules(rules, PLATFORM_SOURCE)

    def _apply_facts(self, facts: Iterable[Fact]) -> None:
        now = self._clock.now()
        accepted = []
        for fact in facts:
            with contain_failure('fact_failed', key=get_key(fact)):
                if self._catalog.apply(fact, now, PLATFORM_SOURCE):
                    accepted.append(fact)
        if accepted:
            self._fleet_agent.publish(accepted)

    async def _record_failure(self, error: StoreError) -> None:
        self._catalog_sync.record_failure(self._clock.now())
        if self._failed_since is None:
            self._failed_since = self._clock.now()
            log_problem('store_lost', error=str(error))
        await asyncio.sleep(self._retry_seconds)
        self._retry_seconds = min(
            self._retry_seconds * 2,
            _MAX_RETRY_SECONDS,
        )

    def _record_success(self) -> None:
        now = self._clock.now()
        if self._failed_since is not None:
            outage = now - self._failed_since
            log_event('store_regained', away_seconds=outage)
            self._trust_absence_from = now + _REWRITE_SECONDS
            self._reread_at = self._trust_absence_from
            self._failed_since = None
            self._retry_seconds = _FIRST_RETRY_SECONDS
        self._catalog_sync.record_success(now)


def _decode_items(raw: Iterable[msgspec.Raw]) -> list[items.Item]:
    """Return the items that can be decoded; log the others."""
    decoded = []
    for one in raw:
        item = items.decode_item(one)
        if isinstance(item, items.Item):
            decoded.append(item)
        else:
            log_problem('item_unreadable', reason=item.reason)
    return decoded
