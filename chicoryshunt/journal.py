"""Decisions of the node on each request or version, with reasons."""

from collections import OrderedDict

import msgspec

from chicoryshunt.clock import Clock
from chicoryshunt.events import log_event
from chicoryshunt.metrics import Metrics

_MAX_SUBJECTS = 20_000
_MAX_DECISIONS_PER_SUBJECT = 64


class Decision(msgspec.Struct, frozen=True, omit_defaults=True):
    """One decision; ``at`` is in seconds since the node started."""

    at: float
    event: str
    reason: str
    fields: dict[str, str] = {}


class Explanation(msgspec.Struct, frozen=True):
    """Recorded decisions on one subject, oldest first."""

    subject: str
    decisions: tuple[Decision, ...]


class Journal:
    """Logs, counts and stores decisions by subject.

    Keeps the first decisions on each subject, and drops the oldest subject
    when there are too many.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        """Start without decisions."""
        self._clock = clock
        self._started_at = clock.now()
        self._metrics = metrics
        self._subjects: OrderedDict[str, list[Decision]] = OrderedDict()

    def record(
        self,
        subject: str,
        event: str,
        reason: str,
        **fields: object,
    ) -> None:
        """Log and count a decision, and store it for ``explain``."""
        log_event(event, subject=subject, reason=reason, **fields)
        self._metrics.count(
            'decisions',
            'Decisions by event and reason',
            event=event,
            reason=reason,
        )
        self._store(
            subject,
            Decision(
                round(self._clock.now() - self._started_at, 3),
                event,
                reason,
                {name: str(field) for name, field in fields.items()},
            ),
        )

    def explain(self, subject: str) -> Explanation | None:
        """Return the decisions on a subject, ``None`` if none are stored."""
        decisions = self._subjects.get(subject)
        if decisions is None:
            return None
        return Explanation(subject, tuple(decisions))

    def _store(self, subject: str, decision: Decision) -> None:
        decisions = self._subjects.setdefault(subject, [])
        if len(decisions) < _MAX_DECISIONS_PER_SUBJECT:
            decisions.append(decision)
        if len(self._subjects) > _MAX_SUBJECTS:
            self._subjects.popitem(last=False)
