"""What the relay needs of the codec for the protocol of targets."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from chicoryshunt.connection.upstream import Answer, OutgoingRequest
from chicoryshunt.relay.incoming import IncomingRequest
from chicoryshunt.types import RequestId, TargetId, TeamId


@dataclass(frozen=True, slots=True)
class MemoryCopy:
    """Reference to the memory of a run, from which another leg continues.

    ``address`` is the target that holds or made the copy, ``name`` its handle
    there.
    """

    address: str
    name: str


@dataclass(frozen=True, slots=True)
class SendParams:
    """How a request is sent to one target; times are in seconds.

    ``last_event`` is the number of the last event that the caller has.
    """

    target: TargetId
    remaining: float
    priority: int
    team: TeamId | None = None
    memory: MemoryCopy | None = None
    last_event: int | None = None


class AnswerKind(Enum):
    """What an answer proves about whether the request ran."""

    ran = 'ran'
    not_run = 'not_run'
    other_target = 'other_target'
    foreign = 'foreign'


class CopyFailure(Enum):
    """Why the memory of a run was not copied.

    ``not_sent``: the engine did not get the order; ``withdrawn``: nor did it,
    as the run may stay there; ``unreachable``: it may have got it.
    """

    not_sent = 'not_sent'
    withdrawn = 'withdrawn'
    no_run = 'no_run'
    busy = 'busy'
    no_room = 'no_room'
    unreachable = 'unreachable'


@dataclass(frozen=True, slots=True)
class Copied:
    """The memory was copied; ``events`` counts those generated so far."""

    handle: str
    events: int


@dataclass(frozen=True, slots=True)
class CopyFailed:
    """The memory was not copied; a handle means that the run has stopped."""

    reason: CopyFailure
    handle: str = ''

    @property
    def may_have_stopped(self) -> bool:
        """Return whether an order to stop may have been carried out.

        Without its answer, and if the engine knows no such run, nothing tells
        a run that was stopped from one that ended by itself.
        """
        return self.reason not in {
            CopyFailure.not_sent,
            CopyFailure.withdrawn,
        }


class Health(Enum):
    """Result of a health check; a target that leaves is ``failing``."""

    sound = 'sound'
    failing = 'failing'
    unknown = 'unknown'


@dataclass(frozen=True, slots=True)
class EngineReport:
    """Status of an engine by its own report, some tenths of a second old.

    ``leaves_in`` is in seconds; ``None`` if the engine does not know.
    """

    is_leaving: bool
    leaves_in: float | None
    running: int
    waiting: int
    memory_used: int


class TargetCodec(Protocol):
    """Codec of the protocol between the node and a target."""

    def encode(
        self, incoming: IncomingRequest, params: SendParams
    ) -> OutgoingRequest:
        """Return the request as it is written to a target."""

    def classify_answer(
        self, incoming: IncomingRequest, answer: Answer
    ) -> AnswerKind:
        """Return what an answer proves about whether the request ran."""

    def encode_copy(
        self,
        request: RequestId,
        destination: str,
        *,
        stops_run: bool,
    ) -> OutgoingRequest:
        """Return the order to copy a run's memory to another engine."""

    def decode_copy(self, answer: Answer, body: bytes) -> Copied | CopyFailed:
        """Return the outcome of an order to copy."""

    def encode_report_request(self) -> OutgoingRequest:
        """Return the request for an engine's report."""

    def decode_report(self, answer: Answer, body: bytes) -> EngineReport | None:
        """Return an engine's report, ``None`` if the answer holds none."""

    def encode_health_check(self, path: str) -> OutgoingRequest:
        """Return the request of a health check."""

    def decode_health(self, target: TargetId, answer: Answer) -> Health:
        """Return the result of a health check, if that target answered."""

    def encode_release(self, handle: str) -> OutgoingRequest:
        """Return the order to drop a copy that is not needed."""
