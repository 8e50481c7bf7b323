"""Tests of the task that reads the configuration service."""

import asyncio
from random import Random

import pytest

from chicoryshunt.configuration.config_joining import JOIN_SECONDS, Joining
from chicoryshunt.configuration.config_readers import ReaderElection
from chicoryshunt.configuration.config_reading import ServiceReader
from chicoryshunt.configuration.configuration import Configuration
from chicoryshunt.configuration.log_importer import LogImporter
from chicoryshunt.connection.platform import Absence, PublishedValue
from chicoryshunt.exceptions import PlatformError
from chicoryshunt.metrics import Metrics
from chicoryshunt.types import DataCentreId, Digest, VmId
from chicoryshunt.version.config import Config
from chicoryshunt.version.fold import fold_line
from chicoryshunt.version.published import format_log, split_base
from tests.builders import build_config, build_patch


def _read_clock() -> float:
    return 0


class ScriptedService:
    """Service whose reads are told beforehand, by key."""

    def __init__(self) -> None:
        self.values: dict[str, PublishedValue | Absence] = {}
        self.known: list[int | None] = []

    async def read(
        self,
        key: str,
        known: int | None = None,
        wait: float = 0,
    ) -> PublishedValue | Absence:
        if key == 'log':
            self.known.append(known)
        if key not in self.values:
            raise PlatformError('down')
        return self.values[key]


class LoneMember:
    """Members of a fleet of one."""

    def __init__(self, own: VmId) -> None:
        self.published = (own,)

    def list_live(
        self,
        data_centre: DataCentreId | None = None,
    ) -> tuple[VmId, ...]:
        return self.published


class Bench:
    """One reader with a scripted service."""

    def __init__(self) -> None:
        self.metrics = Metrics()
        self.configuration = Configuration(self.metrics)
        self.joining = Joining(self.configuration)
        own = VmId('vm-1')
        data_centre = DataCentreId('luzon-a')
        readers = ReaderElection(own, data_centre, LoneMember(own), Random(1))
        self.log = LogImporter(
            self.configuration,
            self.joining,
            readers,
            self.metrics,
        )
        self.service = ScriptedService()
        self.reader = ServiceReader(
            self.service,
            self.log,
            self.metrics,
            _read_clock,
            pause_seconds=0,
        )
        self.publish(build_config())

    def publish(self, config: Config, earlier: tuple[Digest, ...] = ()) -> None:
        published = split_base(config, earlier)
        self.header = published[0]
        for key, text in zip(self.header.keys, published[1], strict=True):
            self.service.values[key] = PublishedValue(1, text)

    def read(self, revision: int, *lines: bytes, cut: int = 0) -> None:
        text = format_log(self.header, lines)
        shown = text[: len(text) - cut]
        self.service.values['log'] = PublishedValue(revision, shown)
        asyncio.run(self.reader.read_once())

    def join(self) -> None:
        self.joining.tick(0)
        self.joining.tick(JOIN_SECONDS)


@pytest.fixture
def bench() -> Bench:
    started = Bench()
    started.read(1)
    started.join()
    return started


def test_base_and_lines_are_read(bench: Bench) -> None:
    bench.read(2, build_patch(1))
    assert bench.configuration.version == 2


def test_value_cut_short_is_read_again(bench: Bench) -> None:
    bench.read(2, build_patch(1), build_patch(2), cut=4)
    assert bench.configuration.version == 2
    bench.read(2, build_patch(1), build_patch(2))
    assert bench.service.known[-1] is None
    assert bench.configuration.version == 3
    bench.read(2, build_patch(1), build_patch(2))
    assert bench.service.known[-1] == 2


def test_damaged_base_changes_nothing(bench: Bench) -> None:
    before = bench.configuration.head
    ahead = fold_line(build_config(), build_patch(1)).config
    bench.publish(ahead, (before.digest,))
    whole = bench.service.values['base/2/0']
    bench.service.values['base/2/0'] = PublishedValue(2, b'{}')
    bench.read(2)
    assert bench.configuration.head == before
    assert bench.metrics.get('config_values_damaged', reason='shard_size')
    bench.service.values['base/2/0'] = whole
    bench.read(2)
    assert bench.configuration.version == 2


def test_service_that_is_down_changes_nothing(bench: Bench) -> None:
    before = bench.configuration.head
    bench.service.values.clear()
    asyncio.run(bench.reader.read_once())
    assert bench.configuration.head == before
    assert bench.metrics.get('config_reads', outcome='failed') == 1


def test_stale_read_is_counted(bench: Bench) -> None:
    bench.read(2, build_patch(1))
    bench.read(1)
    assert bench.configuration.version == 2
    assert bench.metrics.get('config_stale_reads') == 1
