"""Alarms about logs that are not the one in force."""

from collections import OrderedDict

from chicoryshunt.events import log_problem
from chicoryshunt.metrics import Metrics
from chicoryshunt.version.chain import Head

MAX_FORKS = 16


class ForkAlarms:
    """The latest source of each log that differs from the one in force."""

    def __init__(self, metrics: Metrics) -> None:
        """Start without alarms."""
        self._metrics = metrics
        self._by_source: OrderedDict[str, Head] = OrderedDict()

    def list_all(self) -> dict[str, Head]:
        """Return the differing head by its source."""
        return dict(self._by_source)

    def record(self, source: str, other: Head, own: Head) -> None:
        """Count another log; log it when it is new from this source."""
        self._metrics.count(
            'config_forks',
            'Times that another configuration log was met',
        )
        is_known = self._by_source.get(source) == other
        self._by_source[source] = other
        self._by_source.move_to_end(source)
        while len(self._by_source) > MAX_FORKS:
            self._by_source.popitem(last=False)
        if not is_known:
            log_problem(
                'config_forked',
                source=source,
                position=other.position,
                digest=other.digest,
                own_position=own.position,
                own_digest=own.digest,
            )

    def clear(self, source: str) -> None:
        """Forget the alarm about a source that agrees again."""
        self._by_source.pop(source, None)
