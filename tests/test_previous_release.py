"""Nodes of the previous release next to those of this one."""

import msgspec
import pytest

from chicoryshunt.fleet import messages
from chicoryshunt.fleet.broadcast import BroadcastMessage, Passed
from chicoryshunt.types import RequestId, TargetId, VmId
from tests import previous_release as previous

_FIELDS = (RequestId('r'), TargetId('e'), 3000, 900, 2200, 1.5)
_OLD = previous.PlacedRun(*_FIELDS)
_NEW = messages.PlacedRun(*_FIELDS, team=7, has_waited=True)
_NEW_TYPES = (
    messages.PaceNews((messages.PaceNote(TargetId('e'), 7000, 180),)),
    messages.OutageNews((TargetId('e'),)),
    messages.DemandNews(
        1, (messages.DemandGroup(1, 7, 1, 3000, 100, 900, 900, 2000, 3),)
    ),
)


@pytest.mark.parametrize(
    ('old', 'new'),
    [
        (previous.RunNews((_OLD,)), messages.RunNews((_NEW,))),
        (
            previous.RunNews((), (_OLD.request,), (_OLD.request,)),
            messages.RunNews((), (_OLD.request,), (_OLD.request,)),
        ),
        (
            previous.RunList(3, 0, 1, (_OLD,)),
            messages.RunList(3, 0, 1, (_NEW,)),
        ),
        (_OLD, _NEW),
    ],
)
def test_runs_are_understood_by_both_releases(
    old: msgspec.Struct, new: msgspec.Struct
) -> None:
    """Guards against a field without default, or before known ones."""
    read_here = msgspec.msgpack.decode(
        msgspec.msgpack.encode(old), type=type(new)
    )
    read_there = msgspec.msgpack.decode(
        msgspec.msgpack.encode(new), type=type(old)
    )

    unknown = messages.PlacedRun(*_FIELDS, team=0, has_waited=False)
    assert str(read_here) == str(new).replace(str(_NEW), str(unknown))
    assert read_there == old


@pytest.mark.parametrize('unknown', _NEW_TYPES)
def test_a_new_message_stops_no_known_one(unknown: BroadcastMessage) -> None:
    """Guards against a node of the previous release that loses its runs."""
    node = previous.PreviousNode()
    known = messages.RunNews((_NEW,))
    origin = VmId('vm-3')

    node.accept(
        (
            known,
            unknown,
            Passed(origin, unknown, is_for_all=True),
            Passed(origin, known, is_for_all=True),
            messages.RunList(1, 0, 1, (_NEW,)),
        )
    )

    news = previous.RunNews((_OLD,))
    assert node.received == [
        news,
        previous.Passed(origin, news, is_for_all=True),
        previous.RunList(1, 0, 1, (_OLD,)),
    ]
    assert node.metrics.get('datagrams_dropped', reason='undecodable') == 2
