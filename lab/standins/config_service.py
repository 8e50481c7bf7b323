"""Stand-in process for the configuration service: put, read and watch."""

import asyncio
import time
from http import HTTPStatus

from absl import flags

from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.connection.platform import PublishedValue
from chicoryshunt.version.published import MAX_VALUE_BYTES
from lab.standins.daemon import parse_flags, serve_stand_in
from lab.standins.faults import FaultKind, Faults

_FLAGS = flags.FlagValues()
flags.DEFINE_integer('port', 0, 'port on loopback', flag_values=_FLAGS)

_MAX_WAIT_SECONDS = 30
_SLOW_SECONDS = 3


class ConfigService:
    """Values by key that operators put and nodes read and watch."""

    def __init__(self, faults: Faults) -> None:
        """Start without values."""
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
        known = int(exchange.get_query('known', '-1'))
        wait = float(exchange.get_query('wait', '0'))
        deadline = time.monotonic() + min(wait, _MAX_WAIT_SECONDS)
        published = self._find(key)
        while published is None or published.revision == known:
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                break
            await self._wait_for_change(remaining)
            published = self._find(key)
        if published is None:
            exchange.respond(b'', status=HTTPStatus.NOT_FOUND)
        elif published.revision == known:
            exchange.respond(b'', status=HTTPStatus.NOT_MODIFIED)
        else:
            self._respond(exchange, published)

    def _respond(self, exchange: Exchange, published: PublishedValue) -> None:
        text = published.text
        if self._faults.is_on(FaultKind.truncate):
            text = text[: len(text) // 2]
        exchange.set_header('x-revision', str(published.revision))
        exchange.respond(text)

    async def _wait_for_change(self, seconds: float) -> None:
        try:
            await asyncio.wait_for(self._changed.wait(), seconds)
        except TimeoutError:
            return

    def _find(self, key: str) -> PublishedValue | None:
        if self._faults.is_on(FaultKind.stale):
            return self._stale.get(key)
        return self._values.get(key)

    def _find_revision(self, key: str) -> str:
        published = self._values.get(key)
        return '0' if published is None else str(published.revision)

    def _put(self, exchange: Exchange, key: str) -> None:
        body = exchange.body
        expected = exchange.get_header('if-match')
        if expected and expected != self._find_revision(key):
            exchange.respond_json(None, status=HTTPStatus.PRECONDITION_FAILED)
            return
        if len(body) > MAX_VALUE_BYTES:
            exchange.respond_json(
                None,
                status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            )
            return
        self._revision += 1
        self._values[key] = PublishedValue(self._revision, body)
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
