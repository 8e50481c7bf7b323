"""What the node decided for each request or version, and why."""

from collections import OrderedDict

import msgspec

from chicoryshunt.clock import Clock
from chicoryshunt.events import log_event
from chicoryshunt.metrics import Metrics

_MAX_SUBJECTS = 20_000
_MAX_DECISIONS = 64


class Decision(msgspec.Struct, frozen=True, omit_defaults=True):
    """One decision; ``at`` is in seconds since the node started."""

    at: float
    event: str
    reason: str
    fields: dict[str, str] = {}


class Explanation(msgspec.Struct, frozen=True):
    """Every decision on one subject, the oldest first."""

    subject: str
    decisions: tuple[Decision, ...]


class Journal:
    """Logs, counts and remembers decisions by subject, bounded."""

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        """Start empty."""
        self._clock = clock
        self._started = clock.now()
        self._metrics = metrics
        self._subjects: OrderedDict[str, list[Decision]] = OrderedDict()

    def record(
        self,
        subject: str,
        event: str,
        reason: str,
        **fields: object,
    ) -> None:
        """Record one decision as event, metric and explanation."""
        log_event(event, subject=subject, reason=reason, **fields)
        self._metrics.count(
            'decisions',
            'Decisions by event and reason',
            event=event,
            reason=reason,
        )
        self._remember(
            subject,
            Decision(
                round(self._clock.now() - self._started, 3),
                event,
                reason,
                {name: str(field) for name, field in fields.items()},
            ),
        )

    def explain(self, subject: str) -> Explanation | None:
        """Return what was decided on a subject, if it is remembered."""
        decisions = self._subjects.get(subject)
        if decisions is None:
            return None
        return Explanation(subject, tuple(decisions))

    def _remember(self, subject: str, decision: Decision) -> None:
        decisions = self._subjects.setdefault(subject, [])
        if len(decisions) < _MAX_DECISIONS:
            decisions.append(decision)
        if len(self._subjects) > _MAX_SUBJECTS:
            self._subjects.popitem(last=False)
