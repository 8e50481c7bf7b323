"""The configuration that is in force on this node."""

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
    """Tells the rest of the node what is in force; it only goes forward."""

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
        """Return how far the log was folded."""
        return self.replica.head

    @property
    def version(self) -> ConfigVersion:
        """Return the version in force, 0 when there is none."""
        return self.head.version

    @property
    def digest(self) -> Digest:
        """Return the digest of the log that is in force."""
        return self.head.digest

    @property
    def patch_results(self) -> tuple[PatchResult, ...]:
        """Return what became of the latest patches."""
        return self.replica.patch_results

    @property
    def rejected(self) -> tuple[Rejected, ...]:
        """Return the latest rejected patches with their reasons."""
        return tuple(
            ruling
            for ruling in self.patch_results
            if isinstance(ruling, Rejected)
        )

    def subscribe(self, notify: Subscriber) -> None:
        """Call ``notify`` with each version that comes in force."""
        self._subscribers.append(notify)
        if self.current is not None:
            notify(self.current)

    def compare(self, head: Head, source: str) -> Relation:
        """Say how the log of a source compares; raise an alarm on a fork."""
        relation = self.replica.compare(head)
        self._note(source, head, relation)
        return relation

    def check_base(self, header: LogHeader, source: str) -> Relation:
        """Say how a published base compares; raise an alarm on a fork."""
        relation = self.replica.check_base(header)
        head = Head(header.version, header.position, header.digest)
        self._note(source, head, relation)
        return relation

    def extend(self, segment: Segment, source: str) -> UpdateResult:
        """Fold lines that are new; raise an alarm on a fork."""
        before = self.head
        outcome = self.replica.extend(segment)
        if outcome is UpdateResult.forked:
            self.forks.record(source, segment.compute_end(), before)
        self._announce(before)
        return outcome

    def adopt(self, snapshot: Snapshot, source: str) -> UpdateResult:
        """Take a whole state over; raise an alarm on a fork."""
        before = self.head
        outcome = self.replica.adopt(snapshot)
        if outcome is UpdateResult.forked:
            config = snapshot.config
            other = Head(config.version, config.position, config.digest)
            self.forks.record(source, other, before)
        self._announce(before)
        return outcome

    def start_from(self, replica: Replica) -> None:
        """Put a first configuration in force."""
        before = self.head
        if self.current is None:
            self.replica = replica
        self._announce(before)

    def _note(self, source: str, other: Head, relation: Relation) -> None:
        match relation:
            case Relation.forked:
                self.forks.record(source, other, self.head)
            case Relation.same | Relation.behind:
                self.forks.clear(source)

    def _announce(self, before: Head) -> None:
        config = self.current
        if config is None or self.head == before:
            return
        if not self._is_later(before):
            return
        for ruling in self.patch_results:
            if ruling.position > before.position:
                self._log(ruling)
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

    def _is_later(self, before: Head) -> bool:
        head = self.head
        return self._invariants.check(
            Invariant.version_rises,
            head.version >= before.version and head.position > before.position,
            version=head.version,
            position=head.position,
            before=before.version,
        )

    def _log(self, ruling: PatchResult) -> None:
        match ruling:
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
