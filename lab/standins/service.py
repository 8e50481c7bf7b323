"""Stand-in process for a plain service that counts runs by key."""

import asyncio
from collections import Counter
from http import HTTPStatus

from absl import flags

from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.connection.target_api import NotAccepted
from lab.standins.daemon import parse_flags, serve_stand_in
from lab.standins.faults import FaultKind, Faults
from lab.standins.runs import RunLedger

_FLAGS = flags.FlagValues()
flags.DEFINE_integer('port', 0, 'port on loopback', flag_values=_FLAGS)
flags.DEFINE_float('work', 0.01, 'seconds per call', flag_values=_FLAGS)
flags.DEFINE_float(
    'late', 3, 'delay of late answers in seconds', flag_values=_FLAGS
)


class Service:
    """Executes calls and counts them by idempotency key."""

    def __init__(self, faults: Faults) -> None:
        """Start without runs."""
        self._faults = faults
        self._runs: Counter[str] = Counter()
        self._ledger = RunLedger()

    async def handle(self, exchange: Exchange) -> None:
        """Serve one request."""
        match exchange.segments:
            case ('runs',):
                exchange.respond_json(dict(self._runs))
            case ('ready',):
                exchange.respond_json({'ready': True})
            case ('ledger',):
                exchange.respond_json(self._ledger)
            case _:
                await self._call(exchange)

    async def _call(self, exchange: Exchange) -> None:
        if self._faults.is_on(FaultKind.refuse):
            exchange.respond_json(
                NotAccepted('told to refuse'),
                HTTPStatus.SERVICE_UNAVAILABLE,
            )
            return
        key = exchange.get_header('idempotency-key')
        self._ledger.begin(key)
        self._runs[key] += 1
        await asyncio.sleep(_FLAGS.work)
        if self._faults.is_on(FaultKind.slow):
            await asyncio.sleep(_FLAGS.late)
        while self._faults.is_on(FaultKind.stall):
            await asyncio.sleep(_FLAGS.work)
        self._ledger.end()
        if self._faults.is_on(FaultKind.cut):
            exchange.abort()
            return
        exchange.respond_json({'done': key, 'run': self._runs[key]})


def main() -> None:
    """Run the service."""
    parse_flags(_FLAGS)
    serve_stand_in(
        'service', _FLAGS.port, lambda faults: Service(faults).handle
    )


if __name__ == '__main__':
    main()
