"""Alarms about configuration logs that diverge from the node's own."""

from collections import OrderedDict

from chicoryshunt.events import log_problem
from chicoryshunt.metrics import Metrics
from chicoryshunt.version.chain import Head

MAX_FORKS = 16


class ForkAlarms:
    """Tracks the diverging head that each source showed last."""

    def __init__(self, metrics: Metrics) -> None:
        """Start without alarms."""
        self._metrics = metrics
        self._by_source: OrderedDict[str, Head] = OrderedDict()

    def list_all(self) -> dict[str, Head]:
        """Return the diverging heads by source."""
        return dict(self._by_source)

    def record(self, source: str, other: Head, own: Head) -> None:
        """Count a fork; log it unless the source showed this head before."""
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
        """Drop the alarm about a source whose log agrees again."""
        self._by_source.pop(source, None)
