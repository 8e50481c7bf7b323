"""Stand-in for the weight store: loads at a bounded rate, one process."""

import time
from http import HTTPStatus

import msgspec
from absl import flags

from chicoryshunt.connection.exchange import Exchange
from lab.standins.daemon import parse_flags, serve_stand_in

_FLAGS = flags.FlagValues()
flags.DEFINE_integer('port', 0, 'port on loopback', flag_values=_FLAGS)
flags.DEFINE_float('rate', 60, 'loads a minute', flag_values=_FLAGS)
flags.DEFINE_integer('burst', 1, 'loads at once', flag_values=_FLAGS)

_SECONDS_PER_MINUTE = 60


class WeightLedger(msgspec.Struct):
    """How many loads were allowed and refused."""

    allowed: int = 0
    refused: int = 0


class WeightStore:
    """A token bucket before weights that are never sent."""

    def __init__(self, rate: float, burst: int) -> None:
        """Allow ``rate`` loads a minute and ``burst`` at once."""
        self.ledger = WeightLedger()
        self._interval = _SECONDS_PER_MINUTE / rate
        self._slack = self._interval * burst
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
        """Allow a load, or return the seconds to wait for one."""
        free_at = max(self._free_at, now - self._slack + self._interval)
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
