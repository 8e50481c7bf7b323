"""Stand-in process for the platform's VM list, which lags."""

import time
from http import HTTPStatus

import msgspec
from absl import flags

from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.connection.platform_api import PublishedVms
from lab.standins.daemon import parse_flags, serve_stand_in
from lab.standins.faults import Faults

_FLAGS = flags.FlagValues()
flags.DEFINE_integer('port', 0, 'port on loopback', flag_values=_FLAGS)
flags.DEFINE_float(
    'lag', 1.0, 'delay of the list in seconds', flag_values=_FLAGS
)


class VmList:
    """VM list as of ``lag`` seconds ago; the first is shown at once."""

    def __init__(self, faults: Faults) -> None:
        """Start with an empty list."""
        self._faults = faults
        self._history: list[tuple[float, PublishedVms]] = [(0, PublishedVms())]

    async def handle(self, exchange: Exchange) -> None:
        """Serve one request."""
        match (exchange.method, *exchange.segments):
            case ('GET', 'v1', 'vms'):
                exchange.respond_json(self._find())
            case ('PUT', 'v1', 'vms'):
                vms = msgspec.json.decode(
                    exchange.body,
                    type=PublishedVms,
                )
                self._history.append((time.monotonic(), vms))
                exchange.respond_json({'vms': len(vms.vms)})
            case _:
                exchange.respond_json(None, status=HTTPStatus.NOT_FOUND)

    def _find(self) -> PublishedVms:
        if len(self._history) == 2:
            return self._history[1][1]
        oldest = time.monotonic() - _FLAGS.lag
        seen = [vms for at, vms in self._history if at <= oldest]
        return seen[-1]


def main() -> None:
    """Run the VM list."""
    parse_flags(_FLAGS)
    serve_stand_in(
        'vm_list',
        _FLAGS.port,
        lambda faults: VmList(faults).handle,
    )


if __name__ == '__main__':
    main()
