"""Tests of the stream assembler."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from chicoryshunt.connection.event_stream import EventDecoder, encode_tail
from chicoryshunt.connection.target_api import StreamEvent
from chicoryshunt.request.assembler import Arrival, Assembler
from chicoryshunt.types import GenerationId

_OWN = GenerationId('own')
_LENGTH = 12


def decode_tail(event: StreamEvent, start: int) -> StreamEvent:
    tail = EventDecoder().decode(encode_tail(event, start))
    assert isinstance(tail, StreamEvent)
    return tail


class AssemblerMachine(RuleBasedStateMachine):
    """Checks that any order of events delivers each token once, in order."""

    def __init__(self) -> None:
        super().__init__()
        self.assembler = Assembler(_OWN)
        self.delivered: list[str] = []

    @rule(start=st.integers(0, _LENGTH), size=st.integers(1, 4))
    def receive(self, start: int, size: int) -> None:
        stop = min(_LENGTH, start + size)
        tokens = tuple(f't{index}' for index in range(start, stop))
        if not tokens:
            return
        event = StreamEvent(_OWN, start, tokens)
        position = len(self.delivered)
        match self.assembler.accept(event):
            case Arrival.fresh:
                assert start == position
                self.delivered.extend(tokens)
            case Arrival.overlap:
                tail = decode_tail(event, position)
                assert tail.i == position
                self.delivered.extend(tail.t)
            case Arrival.duplicate:
                assert stop <= position or self.assembler.ending
            case Arrival.gap:
                assert start > position

    @rule(start=st.integers(0, _LENGTH))
    def receive_foreign(self, start: int) -> None:
        event = StreamEvent('other', start, ('x',))
        assert self.assembler.accept(event) is Arrival.foreign

    @rule()
    def receive_end(self) -> None:
        arrival = self.assembler.accept(StreamEvent(_OWN, _LENGTH, (), 'stop'))
        if len(self.delivered) < _LENGTH:
            assert arrival is Arrival.gap

    @invariant()
    def tokens_are_in_order(self) -> None:
        count = len(self.delivered)
        assert self.delivered == [f't{index}' for index in range(count)]
        assert self.assembler.next_index == count


TestAssembler = AssemblerMachine.TestCase
