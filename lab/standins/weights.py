"""Stand-in process for the weight store, which limits the rate of loads."""

import time
from http import HTTPStatus

import msgspec
from absl import flags

from chicoryshunt.connection.exchange import Exchange
from lab.standins.daemon import parse_flags, serve_stand_in

_FLAGS = flags.FlagValues()
flags.DEFINE_integer('port', 0, 'port on loopback', flag_values=_FLAGS)
flags.DEFINE_float('rate', 60, 'loads per minute', flag_values=_FLAGS)
flags.DEFINE_integer(
    'burst', 1, 'loads that may follow at once', flag_values=_FLAGS
)

_SECONDS_PER_MINUTE = 60


class WeightLedger(msgspec.Struct):
    """Counts of allowed and refused loads."""

    allowed: int = 0
    refused: int = 0


class WeightStore:
    """Token bucket for loads; no weights are sent."""

    def __init__(self, rate: float, burst: int) -> None:
        """Allow ``rate`` loads per minute, and bursts of ``burst``."""
        self.ledger = WeightLedger()
        self._interval = _SECONDS_PER_MINUTE / rate
        self._burst_seconds = self._interval * burst
        self._free_at: float = 0

    async def handle(self, exchange: Exchange) -> None:
        """Serve one request."""
        match (exchange.method, *exchange.segments):
            case ('GET', 'v1', 'weights', _):
                self._load(exchange)
            case ('GET', 'v1', 'loads'):
                exchange.respond_json(self.ledger)
            case _:
                exchange.respond_json(None, status=HTTPStatus.NOT_FOUND)

    def take(self, now: float) -> float:
        """Allow a load and return 0, or return the seconds to wait."""
        free_at = max(self._free_at, now - self._burst_seconds + self._interval)
        if free_at > now:
            self.ledger.refused += 1
            return free_at - now
        self.ledger.allowed += 1
        self._free_at = free_at + self._interval
        return 0

    def _load(self, exchange: Exchange) -> None:
        wait = self.take(time.monotonic())
        if wait > 0:
            exchange.set_header('retry-after', f'{wait:.3f}')
            exchange.respond_json(None, status=HTTPStatus.TOO_MANY_REQUESTS)
        else:
            exchange.respond_json({'loaded': True})


def main() -> None:
    """Run the weight store."""
    parse_flags(_FLAGS)
    store = WeightStore(_FLAGS.rate, _FLAGS.burst)
    serve_stand_in('weights', _FLAGS.port, lambda _: store.handle)


if __name__ == '__main__':
    main()
