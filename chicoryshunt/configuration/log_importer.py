"""Applies what was read from the configuration service."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from chicoryshunt.configuration.config_joining import Joining
from chicoryshunt.configuration.config_readers import ReaderElection
from chicoryshunt.configuration.configuration import Configuration
from chicoryshunt.events import log_problem
from chicoryshunt.metrics import Metrics
from chicoryshunt.version.chain import Relation
from chicoryshunt.version.published import (
    LOG_KEY,
    Damage,
    LogHeader,
    PublishedLog,
    parse_base,
    parse_log,
)
from chicoryshunt.version.replica import Segment, Snapshot, UpdateResult

SERVICE = 'configuration service'


class ReadResult(Enum):
    """Whether a value was applied whole or has to be read again."""

    whole = 'whole'
    partial = 'partial'


@dataclass(frozen=True, slots=True)
class BaseNeeded:
    """The log can only be applied after the base that it follows."""

    header: LogHeader


class LogImporter:
    """Applies the log that the service shows, never backwards.

    While the node has no configuration in force, the log is applied only to
    the candidate configuration.
    """

    def __init__(
        self,
        configuration: Configuration,
        joining: Joining,
        readers: ReaderElection,
        metrics: Metrics,
    ) -> None:
        """Start without a read."""
        self.readers = readers
        self._configuration = configuration
        self._joining = joining
        self._metrics = metrics

    def apply_log(self, text: bytes, now: float) -> BaseNeeded | ReadResult:
        """Apply a value of the log, or return the base that it needs."""
        log = parse_log(text)
        if isinstance(log, Damage):
            self._report_damage(log, LOG_KEY)
            return ReadResult.partial
        if log.is_truncated:
            self._report_damage(Damage.truncated, LOG_KEY)
        self.readers.record_read(now)
        is_joining = self._joining.is_joining
        is_usable = (
            self._apply_to_candidate(log) if is_joining else self._apply(log)
        )
        if not is_usable:
            return BaseNeeded(log.header)
        return (
            ReadResult.partial
            if log.is_truncated or is_joining
            else ReadResult.whole
        )

    def apply_base(self, header: LogHeader, values: Sequence[bytes]) -> bool:
        """Apply the shards of a base; return whether that advanced the log."""
        config = parse_base(header, values)
        if isinstance(config, Damage):
            self._report_damage(config, header.keys[0])
            return False
        snapshot = Snapshot(config, header.earlier, ())
        if self._joining.is_joining:
            outcome = self._joining.candidate.adopt(snapshot)
        else:
            outcome = self._configuration.adopt(snapshot, SERVICE)
        return outcome is UpdateResult.advanced

    def _apply_to_candidate(self, log: PublishedLog) -> bool:
        outcome = self._joining.candidate.extend(_build_segment(log))
        return outcome is not UpdateResult.gap

    def _apply(self, log: PublishedLog) -> bool:
        match self._configuration.check_base(log.header, SERVICE):
            case Relation.ahead:
                return False
            case Relation.forked:
                return True
        head = self._configuration.head
        self._configuration.extend(_build_segment(log), SERVICE)
        if log.header.position + len(log.lines) < head.position:
            self._metrics.count(
                'config_stale_reads',
                'Reads that showed less than what is in force',
            )
        return True

    def _report_damage(self, damage: Damage, key: str) -> None:
        self._metrics.count(
            'config_values_damaged',
            'Published values that were not used whole, by reason',
            reason=damage.value,
        )
        log_problem('config_value_damaged', reason=damage.value, key=key)


def _build_segment(log: PublishedLog) -> Segment:
    return Segment(log.header.position, log.header.digest, log.lines)
