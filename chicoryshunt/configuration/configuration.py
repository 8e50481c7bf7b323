"""The configuration in force on this node."""

from collections.abc import Callable

from chicoryshunt.configuration.config_forks import ForkAlarms
from chicoryshunt.events import log_event, log_problem
from chicoryshunt.invariants import Invariant, InvariantChecker
from chicoryshunt.metrics import Metrics
from chicoryshunt.types import ConfigVersion, Digest
from chicoryshunt.version.chain import Head, Relation
from chicoryshunt.version.config import Config
from chicoryshunt.version.fold import Accepted, PatchResult, Rejected
from chicoryshunt.version.published import LogHeader
from chicoryshunt.version.replica import (
    Replica,
    Segment,
    Snapshot,
    UpdateResult,
)

Subscriber = Callable[[Config], None]


class Configuration:
    """Configuration in force, with its subscribers.

    Neither its version nor its log position ever falls.
    """

    def __init__(self, metrics: Metrics) -> None:
        """Start without a configuration."""
        self.replica = Replica()
        self.forks = ForkAlarms(metrics)
        self.is_confirmed = True
        self._metrics = metrics
        self._invariants = InvariantChecker(metrics)
        self._subscribers: list[Subscriber] = []

    @property
    def current(self) -> Config | None:
        """Return the configuration in force."""
        return self.replica.config

    @property
    def head(self) -> Head:
        """Return the head of the folded log."""
        return self.replica.head

    @property
    def version(self) -> ConfigVersion:
        """Return the version in force, or 0 if there is none."""
        return self.head.version

    @property
    def digest(self) -> Digest:
        """Return the digest of the folded log."""
        return self.head.digest

    @property
    def patch_results(self) -> tuple[PatchResult, ...]:
        """Return the results of the latest patches."""
        return self.replica.patch_results

    @property
    def rejected(self) -> tuple[Rejected, ...]:
        """Return the latest rejected patches with their reasons."""
        return tuple(
            result
            for result in self.patch_results
            if isinstance(result, Rejected)
        )

    def subscribe(self, notify: Subscriber) -> None:
        """Call ``notify`` with the current and each later version."""
        self._subscribers.append(notify)
        if self.current is not None:
            notify(self.current)

    def compare(self, head: Head, source: str) -> Relation:
        """Compare the log of a source; raise an alarm on a fork."""
        relation = self.replica.compare(head)
        self._update_alarms(source, head, relation)
        return relation

    def check_base(self, header: LogHeader, source: str) -> Relation:
        """Compare a published base; raise an alarm on a fork."""
        relation = self.replica.check_base(header)
        head = Head(header.version, header.position, header.digest)
        self._update_alarms(source, head, relation)
        return relation

    def extend(self, segment: Segment, source: str) -> UpdateResult:
        """Fold the new lines of a segment; raise an alarm on a fork."""
        before = self.head
        outcome = self.replica.extend(segment)
        if outcome is UpdateResult.forked:
            self.forks.record(source, segment.compute_end(), before)
        self._publish(before)
        return outcome

    def adopt(self, snapshot: Snapshot, source: str) -> UpdateResult:
        """Install a later snapshot; raise an alarm on a fork."""
        before = self.head
        outcome = self.replica.adopt(snapshot)
        if outcome is UpdateResult.forked:
            config = snapshot.config
            other = Head(config.version, config.position, config.digest)
            self.forks.record(source, other, before)
        self._publish(before)
        return outcome

    def start_from(self, replica: Replica) -> None:
        """Install a first configuration; keep one that is in force."""
        before = self.head
        if self.current is None:
            self.replica = replica
        self._publish(before)

    def _update_alarms(
        self, source: str, other: Head, relation: Relation
    ) -> None:
        match relation:
            case Relation.forked:
                self.forks.record(source, other, self.head)
            case Relation.same | Relation.behind:
                self.forks.clear(source)

    def _publish(self, before: Head) -> None:
        config = self.current
        if config is None or self.head == before:
            return
        if not self._check_order(before):
            return
        for result in self.patch_results:
            if result.position > before.position:
                self._log_result(result)
        self._metrics.set_gauge(
            'config_version',
            'Version of the configuration in force',
            config.version,
        )
        self._metrics.set_gauge(
            'config_position',
            'Lines of the patch log that were folded',
            config.position,
        )
        if config.version != before.version:
            log_event(
                'version_in_force',
                version=config.version,
                position=config.position,
                digest=config.digest,
            )
            for notify in self._subscribers:
                notify(config)

    def _check_order(self, before: Head) -> bool:
        head = self.head
        return self._invariants.check(
            Invariant.version_rises,
            head.version >= before.version and head.position > before.position,
            version=head.version,
            position=head.position,
            before=before.version,
        )

    def _log_result(self, result: PatchResult) -> None:
        match result:
            case Accepted(position=position, version=version):
                log_event('patch_accepted', patch=position, version=version)
            case Rejected(
                position=position,
                rejection=rejection,
                detail=detail,
            ):
                self._metrics.count(
                    'config_patches_rejected',
                    'Patches rejected, by reason',
                    reason=rejection.value,
                )
                log_problem(
                    'patch_rejected',
                    patch=position,
                    reason=rejection.value,
                    detail=detail,
                )
