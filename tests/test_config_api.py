"""Tests of the configuration API and of the patch client, on loopback."""

from chicoryshunt.commands.patch import describe_check, describe_report
from chicoryshunt.configuration.config_api import ConfigApi
from chicoryshunt.configuration.configuration import Configuration
from chicoryshunt.connection.exchange import Exchange
from chicoryshunt.connection.platform_api import PublishedVm, PublishedVms
from chicoryshunt.connection.web import BoundedSite
from chicoryshunt.metrics import Metrics
from chicoryshunt.patches import PatchClient, PatchReport
from chicoryshunt.types import DataCentreId, LogPosition, VmId
from chicoryshunt.version.chain import Relation
from chicoryshunt.version.published import (
    PublishedLog,
    parse_base,
    parse_log,
)
from chicoryshunt.version.replica import Segment, Snapshot
from tests.builders import build_config, build_patch
from tests.reactor import listen, run_on_reactor
from tests.test_caller import SERVER_BOUNDS


class Node:
    """One node's configuration behind its HTTP interface."""

    def __init__(self, name: str, *lines: bytes) -> None:
        self.vms: list[PublishedVm] = []
        base = build_config()
        configuration = Configuration(Metrics())
        self.configuration = configuration
        configuration.adopt(Snapshot(base, (), ()), 'base')
        configuration.extend(
            Segment(LogPosition(0), base.digest, lines),
            'log',
        )
        self.api = ConfigApi(
            VmId(name),
            configuration,
            lambda: PublishedVms(tuple(self.vms)),
        )

    async def handle(self, exchange: Exchange) -> None:
        self.api.handle(exchange, list(exchange.segments[2:]))


def _report(patch: int, *nodes: Node) -> PatchReport:
    async def call_node() -> PatchReport:
        one, other = nodes
        async with (
            listen(BoundedSite(one.handle, SERVER_BOUNDS)) as first,
            listen(BoundedSite(other.handle, SERVER_BOUNDS)) as second,
        ):
            for address in (first, second, '127.0.0.1:1'):
                one.vms.append(_publish(address))
            return await PatchClient([first]).report(patch)

    return run_on_reactor(call_node())


def _publish(address: str) -> PublishedVm:
    return PublishedVm(
        VmId(address),
        DataCentreId('luzon-a'),
        address,
        address,
        address,
    )


def test_check_returns_the_result_of_the_fold() -> None:
    async def call_node() -> list[str]:
        node = Node('vm-1')
        async with listen(BoundedSite(node.handle, SERVER_BOUNDS)) as address:
            client = PatchClient([address])
            return [
                describe_check(await client.check(line))
                for line in (build_patch(1), build_patch(4), b'{}\n{}')
            ]

    assert run_on_reactor(call_node()) == [
        'accepted: makes version 2',
        'rejected: not_current: made against version 4, not 1',
        'rejected: not_json: a patch is one line',
    ]


def test_exported_base_is_what_is_in_force() -> None:
    node = Node('vm-1', build_patch(1))

    async def call_node() -> dict[str, bytes]:
        async with listen(BoundedSite(node.handle, SERVER_BOUNDS)) as address:
            return await PatchClient([address]).export()

    values = run_on_reactor(call_node())
    log = parse_log(values['log'])
    assert isinstance(log, PublishedLog)
    base = parse_base(log.header, [values['base/2/0']])
    assert base == node.configuration.current
    relation = node.configuration.check_base(log.header, 'service')
    assert relation is Relation.same


def test_report_counts_the_nodes() -> None:
    report = _report(1, Node('vm-1', build_patch(1)), Node('vm-2'))
    lines = list(describe_report(report))
    assert lines[:3] == [
        'patch 1: accepted as version 2',
        'in force on 1 of 3',
        'not there yet: vm-2',
    ]
    assert lines[3].startswith('no answer from 127.0.0.1:1')
    assert not report.is_in_force


def test_report_names_nodes_on_another_log() -> None:
    nodes = (Node('vm-1', build_patch(1)), Node('vm-2', b'other'))
    report = _report(1, *nodes)
    assert len(report.folded) == 1
    assert len(report.differing) == 1


def test_rejected_patch_is_reported_with_reason() -> None:
    late = (build_patch(1), build_patch(1))
    report = _report(2, Node('vm-1', *late), Node('vm-2', *late))
    assert list(describe_report(report))[:2] == [
        'patch 2: rejected: not_current: made against version 1, not 2',
        'known on 2 of 3',
    ]
