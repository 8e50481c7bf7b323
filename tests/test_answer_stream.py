"""Tests of the caller's reader of one answer."""

from chicoryshunt.caller.answer import Answer
from chicoryshunt.caller.stream import AnswerStream
from chicoryshunt.connection.caller_api import AnswerEnd, encode_answer_end
from chicoryshunt.types import RunState
from tests.relay_fakes import OWN, frame_tokens
from tests.virtual_loop import run_virtual


def build_stream() -> AnswerStream:
    return AnswerStream(Answer(RunState.ran, generation=OWN), 'token')


def handle(stream: AnswerStream, event: bytes) -> bool:
    return stream.handle_frame(event.removesuffix(b'\n\n'))


def encode_end(tokens: int) -> bytes:
    return encode_answer_end(AnswerEnd('stop', tokens, 'ran'))


def test_repeated_tokens_are_dropped() -> None:
    async def check() -> None:
        stream = build_stream()
        for event in (
            frame_tokens(0, 2),
            frame_tokens(1, 4),
            frame_tokens(0, 2),
        ):
            assert handle(stream, event)
        assert handle(stream, frame_tokens(9, 10, 'other'))
        assert stream.answer.tokens == ['t0', 't1', 't2', 't3']
        assert not handle(stream, encode_end(4))
        assert stream.answer.is_whole

    run_virtual(check())


def test_end_with_wrong_token_count_is_ignored() -> None:
    async def check() -> None:
        stream = build_stream()
        handle(stream, frame_tokens(0, 2))
        assert not handle(stream, encode_end(4))
        assert not stream.answer.ending

    run_virtual(check())


def test_gap_or_invalid_event_stops_reading() -> None:
    async def check() -> None:
        for event in (
            frame_tokens(3, 4),
            b'data: {',
            b'event: end\ndata: {',
            b'event: end\ndata: {"ending": "stop"}',
        ):
            stream = build_stream()
            assert not handle(stream, event)
            assert not stream.answer.ending
            assert not stream.answer.tokens

    run_virtual(check())
