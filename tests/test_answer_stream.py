"""Tests of a caller's reading of one answer."""

from chicoryshunt.caller.answer import Answer
from chicoryshunt.caller.stream import AnswerStream
from chicoryshunt.connection.caller_api import AnswerEnd, encode_answer_end
from chicoryshunt.types import RunState
from tests.relay_fakes import OWN, frame_tokens
from tests.virtual_loop import run_virtual


def build_stream() -> AnswerStream:
    return AnswerStream(Answer(RunState.ran, generation=OWN), 'token')


def take(stream: AnswerStream, event: bytes) -> bool:
    return stream.handle_frame(event.removesuffix(b'\n\n'))


def encode_end(tokens: int) -> bytes:
    return encode_answer_end(AnswerEnd('stop', tokens, 'ran'))


def test_tokens_are_kept_once() -> None:
    async def check() -> None:
        stream = build_stream()
        for event in (
            frame_tokens(0, 2),
            frame_tokens(1, 4),
            frame_tokens(0, 2),
        ):
            assert take(stream, event)
        assert take(stream, frame_tokens(9, 10, 'other'))
        assert stream.answer.tokens == ['t0', 't1', 't2', 't3']
        assert not take(stream, encode_end(4))
        assert stream.answer.is_whole

    run_virtual(check())


def test_end_of_other_tokens_is_no_end() -> None:
    async def check() -> None:
        stream = build_stream()
        take(stream, frame_tokens(0, 2))
        assert not take(stream, encode_end(4))
        assert not stream.answer.ending

    run_virtual(check())


def test_gap_and_garbage_end_the_connection() -> None:
    async def check() -> None:
        for event in (
            frame_tokens(3, 4),
            b'data: {',
            b'event: end\ndata: {',
            b'event: end\ndata: {"ending": "stop"}',
        ):
            stream = build_stream()
            assert not take(stream, event)
            assert not stream.answer.ending
            assert not stream.answer.tokens

    run_virtual(check())
