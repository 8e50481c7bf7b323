"""What reads of the configuration service are used for."""

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


class Use(Enum):
    """Say whether the same value is worth another read."""

    whole = 'whole'
    partial = 'partial'


@dataclass(frozen=True, slots=True)
class BaseNeeded:
    """The log cannot be used without the base that it follows."""

    header: LogHeader


class LogImporter:
    """Carries the log forward by what the service shows, never back.

    While the node has no configuration, what the service shows is only a
    candidate.
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

    def apply_log(self, text: bytes, now: float) -> BaseNeeded | Use:
        """Use the value of the log; say if its base has to be read."""
        log = parse_log(text)
        if isinstance(log, Damage):
            self._note_damage(log, LOG_KEY)
            return Use.partial
        if log.is_truncated:
            self._note_damage(Damage.truncated, LOG_KEY)
        self.readers.record_read(now)
        is_joining = self._joining.is_joining
        is_usable = (
            self._learn_candidate(log) if is_joining else self._learn(log)
        )
        if not is_usable:
            return BaseNeeded(log.header)
        return Use.partial if log.is_truncated or is_joining else Use.whole

    def apply_base(self, header: LogHeader, values: Sequence[bytes]) -> bool:
        """Use the shards of a base; say whether they could be."""
        config = parse_base(header, values)
        if isinstance(config, Damage):
            self._note_damage(config, header.keys[0])
            return False
        snapshot = Snapshot(config, header.earlier, ())
        if self._joining.is_joining:
            outcome = self._joining.candidate.adopt(snapshot)
        else:
            outcome = self._configuration.adopt(snapshot, SERVICE)
        return outcome is UpdateResult.advanced

    def _learn_candidate(self, log: PublishedLog) -> bool:
        outcome = self._joining.candidate.extend(_build_segment(log))
        return outcome is not UpdateResult.gap

    def _learn(self, log: PublishedLog) -> bool:
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

    def _note_damage(self, damage: Damage, key: str) -> None:
        self._metrics.count(
            'config_values_damaged',
            'Published values that were not used whole, by reason',
            reason=damage.value,
        )
        log_problem('config_value_damaged', reason=damage.value, key=key)


def _build_segment(log: PublishedLog) -> Segment:
    return Segment(log.header.position, log.header.digest, log.lines)
