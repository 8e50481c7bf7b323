"""Seeds that once broke a promise, each with its cause."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Regression:
    """A seed that is played again with the size that it failed with."""

    seed: int
    cause: str


_JUST_ACCEPTED = (
    'SIGTERM met a connection that was accepted but not connected yet: the '
    'node ended with 1 instead of serving on'
)
_RELEASE_AS_RUN = (
    'the stand-in of engines took the release of a copy for a run; no fault '
    'of the nodes'
)

_WRONG_PROCESS = (
    'the soak judged a process by the log or the end of the one that another '
    'fault had started after it; no fault of the nodes'
)
_SIGNAL_AT_EXIT = (
    'a second SIGTERM met a process that had stopped and was about to exit: it '
    'ended with -15 instead of 0'
)
_STOPPED_AS_WHOLE = (
    'a stream without a length was ended as whole although the run had only '
    'been stopped, on an order to copy its memory to another engine'
)
_STATUS_PASSED_ON = 'an answer with status 000 was passed on to a caller'

REGRESSIONS = (
    Regression(2, _WRONG_PROCESS),
    Regression(3, _RELEASE_AS_RUN),
    Regression(8, _JUST_ACCEPTED),
    Regression(18, _WRONG_PROCESS),
    Regression(20, _WRONG_PROCESS),
    Regression(25, _WRONG_PROCESS),
    Regression(27, _JUST_ACCEPTED),
    Regression(33, _JUST_ACCEPTED),
    Regression(35, _RELEASE_AS_RUN),
    Regression(401, _STATUS_PASSED_ON),
    Regression(402, _STOPPED_AS_WHOLE),
    Regression(1105, _SIGNAL_AT_EXIT),
)
