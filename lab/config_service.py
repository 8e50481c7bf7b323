"""Stand-in for the configuration service: read and watch, one process."""

import asyncio
import time
from http import HTTPStatus

import msgspec
from absl import flags

from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.connection.platform_api import PublishedValue
from lab.daemon import parse_flags, serve_stand_in
from lab.faults import FaultKind, Faults

_FLAGS = flags.FlagValues()
flags.DEFINE_integer('port', 0, 'port on loopback', flag_values=_FLAGS)

_MAX_VALUE_BYTES = 1 << 20
_MAX_WAIT_SECONDS = 30
_SLOW_SECONDS = 3


class ConfigService:
    """Values by key; operators put, the system reads and watches."""

    def __init__(self, faults: Faults) -> None:
        """Start empty."""
        self._faults = faults
        self._values: dict[str, PublishedValue] = {}
        self._stale: dict[str, PublishedValue] = {}
        self._revision = 0
        self._calls = 0
        self._changed = asyncio.Event()

    async def handle(self, exchange: Exchange) -> None:
        """Serve one request."""
        if self._faults.is_on(FaultKind.slow):
            await asyncio.sleep(_SLOW_SECONDS)
        match (exchange.method, *exchange.segments):
            case ('GET', 'v1', 'values', *key):
                await self._read(exchange, '/'.join(key))
            case ('PUT', 'v1', 'values', *key):
                self._put(exchange, '/'.join(key))
            case ('POST', 'v1', 'snapshot'):
                self._stale = dict(self._values)
                exchange.respond_json({'revision': self._revision})
            case ('GET', 'v1', 'calls'):
                exchange.respond_json({'calls': self._calls})
            case _:
                exchange.respond_json(None, status=HTTPStatus.NOT_FOUND)

    async def _read(self, exchange: Exchange, key: str) -> None:
        self._calls += 1
        after = int(exchange.get_query('after', '0'))
        wait = float(exchange.get_query('wait', '0'))
        deadline = time.monotonic() + min(wait, _MAX_WAIT_SECONDS)
        published = self._find(key)
        while published is None or published.revision <= after:
            left = deadline - time.monotonic()
            if left <= 0:
                break
            await self._wait_change(left)
            published = self._find(key)
        if published is None:
            exchange.respond_json(None, status=HTTPStatus.NOT_FOUND)
        elif published.revision <= after:
            exchange.respond_json(None, status=HTTPStatus.NOT_MODIFIED)
        else:
            exchange.respond_json(published)

    async def _wait_change(self, seconds: float) -> None:
        try:
            await asyncio.wait_for(self._changed.wait(), seconds)
        except TimeoutError:
            return

    def _find(self, key: str) -> PublishedValue | None:
        if self._faults.is_on(FaultKind.stale):
            return self._stale.get(key)
        return self._values.get(key)

    def _put(self, exchange: Exchange, key: str) -> None:
        body = exchange.body
        created_only = exchange.get_header('if-none-match') == '*'
        if created_only and key in self._values:
            exchange.respond_json(None, status=HTTPStatus.PRECONDITION_FAILED)
            return
        if len(body) > _MAX_VALUE_BYTES:
            exchange.respond_json(
                None,
                status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            )
            return
        self._revision += 1
        published = PublishedValue(key, self._revision, msgspec.Raw(body))
        self._values[key] = published
        self._changed.set()
        self._changed = asyncio.Event()
        exchange.respond_json({'revision': self._revision})


def main() -> None:
    """Run the configuration service."""
    parse_flags(_FLAGS)
    serve_stand_in(
        'config_service',
        _FLAGS.port,
        lambda faults: ConfigService(faults).handle,
    )


if __name__ == '__main__':
    main()
