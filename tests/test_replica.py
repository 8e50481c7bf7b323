"""Tests of a node's copy of the log, whatever order it learns it in."""

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)

from chicoryshunt.types import ConfigVersion, Digest, LogPosition
from chicoryshunt.version.chain import Head, Relation
from chicoryshunt.version.config import Config
from chicoryshunt.version.fold import PatchResult, Rejected, fold_line
from chicoryshunt.version.patch import MAX_PATCH_BYTES
from chicoryshunt.version.published import (
    LogHeader,
    PublishedLog,
    format_log,
    parse_base,
    parse_log,
    split_base,
)
from chicoryshunt.version.replica import (
    NO_HEAD,
    Replica,
    Segment,
    Snapshot,
    UpdateResult,
)
from tests.builders import build_config, build_patch, build_set_team

_REPLICAS = st.integers(0, 2)


def _start_replica(config: Config) -> Replica:
    replica = Replica()
    replica.adopt(Snapshot(config, (), ()))
    return replica


def _learn(replica: Replica, text: bytes, base: Config) -> UpdateResult | None:
    log = parse_log(text)
    if not isinstance(log, PublishedLog):
        return None
    header = log.header
    if replica.head.position < header.position:
        replica.adopt(Snapshot(base, header.earlier, ()))
    return replica.extend(Segment(header.position, header.digest, log.lines))


class LogMachine(RuleBasedStateMachine):
    """Operators append, replicas learn in any order and from each other."""

    def __init__(self) -> None:
        super().__init__()
        self.configs = [build_config()]
        self.rulings: list[PatchResult] = []
        self.lines: list[bytes] = []
        self.base = 0
        self.replicas = [Replica() for _ in range(3)]
        self.seen = [NO_HEAD for _ in range(3)]

    @rule(behind=st.integers(0, 2), weight=st.integers(1, 9))
    def submit(self, behind: int, weight: int) -> None:
        base = max(0, self.configs[-1].version - behind)
        self._append(build_patch(base, build_set_team('baguio', weight)))

    @rule(line=st.binary(max_size=12).filter(lambda one: b'\n' not in one))
    def submit_garbage(self, line: bytes) -> None:
        self._append(line)

    @rule(one=_REPLICAS, left=st.integers(0, 400))
    def read(self, one: int, left: int) -> None:
        text = format_log(self._header(self.base), self.lines[self.base :])
        _learn(
            self.replicas[one],
            text[: max(0, len(text) - left)],
            self.configs[self.base],
        )

    @rule(one=_REPLICAS, shown=st.integers(0, 20))
    def read_stale(self, one: int, shown: int) -> None:
        text = format_log(self._header(0), self.lines[:shown])
        _learn(self.replicas[one], text, self.configs[0])

    @rule(one=_REPLICAS, other=_REPLICAS)
    def gossip(self, one: int, other: int) -> None:
        receiver, sender = self.replicas[one], self.replicas[other]
        segment = sender.list_after(receiver.head.position)
        snapshot = sender.take_snapshot()
        if segment is not None:
            receiver.extend(segment)
            receiver.extend(segment)
        elif snapshot is not None:
            receiver.adopt(snapshot)

    @rule(one=_REPLICAS)
    def restart(self, one: int) -> None:
        self.replicas[one] = Replica()
        self.seen[one] = NO_HEAD

    @rule()
    def compact(self) -> None:
        self.base = len(self.lines)

    @rule(one=_REPLICAS, back=st.integers(1, 4))
    def read_fork(self, one: int, back: int) -> None:
        replica = self.replicas[one]
        start = replica.head.position - back
        if start < 0:
            return
        before = replica.head
        fork = Segment(
            LogPosition(start),
            self.configs[start].digest,
            [b'another line' for _ in range(back + 1)],
        )
        assert replica.extend(fork) is UpdateResult.forked
        assert replica.head == before

    @rule(one=_REPLICAS)
    def adopt_fork(self, one: int) -> None:
        replica = self.replicas[one]
        if replica.head.position < 1:
            return
        other = fold_line(self.configs[0], b'another line').config
        for _ in range(replica.head.position):
            digest = other.digest
            other = fold_line(other, b'another line').config
        before = replica.head
        assert (
            replica.adopt(Snapshot(other, (digest,), ())) is UpdateResult.forked
        )
        assert replica.head == before

    @invariant()
    def never_falls_and_agrees(self) -> None:
        for index, replica in enumerate(self.replicas):
            head = replica.head
            assert head.version >= self.seen[index].version
            assert head.position >= self.seen[index].position
            self.seen[index] = head
            if head == NO_HEAD:
                continue
            assert replica.config == self.configs[head.position]
            assert all(
                self.rulings[ruling.position - 1] == ruling
                for ruling in replica.patch_results
            )

    def _append(self, line: bytes) -> None:
        folding = fold_line(self.configs[-1], line)
        self.lines.append(line)
        self.configs.append(folding.config)
        self.rulings.append(folding.result)

    def _header(self, base: int) -> LogHeader:
        earlier = tuple(config.digest for config in self.configs[:base])
        header, values = split_base(self.configs[base], earlier)
        assert parse_base(header, values) == self.configs[base]
        return header


TestLog = LogMachine.TestCase
TestLog.settings = settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
)


def test_racing_patches_end_the_same() -> None:
    base = build_config()
    lines = [
        build_patch(1, build_set_team('baguio', 2)),
        build_patch(1, build_set_team('baguio', 3)),
    ]
    replicas = [_start_replica(base) for _ in range(2)]
    replicas[0].extend(Segment(LogPosition(0), base.digest, lines))
    for line in lines:
        head = replicas[1].head
        replicas[1].extend(Segment(head.position, head.digest, [line]))
    assert replicas[0].head == replicas[1].head
    assert replicas[0].patch_results == replicas[1].patch_results
    assert isinstance(replicas[0].patch_results[1], Rejected)


def test_base_ahead_is_checked() -> None:
    base = build_config()
    replica = _start_replica(base)
    ahead = fold_line(base, build_patch(1)).config
    header, _ = split_base(ahead, (base.digest,))
    assert replica.check_base(header) is Relation.ahead
    other, _ = split_base(ahead, (ahead.digest,))
    assert replica.check_base(other) is Relation.forked


def test_base_of_another_version_is_a_fork() -> None:
    base = build_config()
    header, _ = split_base(base)
    forged = msgspec.structs.replace(header, version=ConfigVersion(9))
    replica = _start_replica(base)
    assert replica.check_base(header) is Relation.same
    assert replica.check_base(forged) is Relation.forked


def test_kept_lines_are_bounded_in_bytes() -> None:
    base = build_config()
    replica = _start_replica(base)
    lines = [bytes(MAX_PATCH_BYTES) for _ in range(6)]
    replica.extend(Segment(LogPosition(0), base.digest, lines))
    assert replica.head.position == 6
    assert replica.list_after(LogPosition(2)) is None
    assert replica.list_after(LogPosition(4)) is not None


def test_head_with_another_digest_is_a_fork() -> None:
    base = build_config()
    replica = _start_replica(base)
    same = Head(base.version, base.position, base.digest)
    assert replica.compare(same) is Relation.same
    other = Head(base.version, base.position, _change_digest(base))
    assert replica.compare(other) is Relation.forked


def _change_digest(config: Config) -> Digest:
    return fold_line(config, b'').config.digest
