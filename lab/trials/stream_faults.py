"""Streams through real processes while the engines misbehave."""

import asyncio
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

from absl import flags

from chicoryshunt.caller.answer import Answer
from chicoryshunt.caller.caller import Caller
from chicoryshunt.operations import run_until_done
from chicoryshunt.types import RunState
from lab.standins.daemon import parse_flags
from lab.standins.faults import FaultKind
from lab.trials.fleet import run_fleet, send
from lab.trials.topology import SMALL, UserFleet

_FLAGS = flags.FlagValues()
flags.DEFINE_integer('length', 100, 'tokens an answer', flag_values=_FLAGS)

_AFTER_TOKENS = 10
_AFTER_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Case:
    """One fault, how long it lasts, and how the answer must end."""

    fault: FaultKind
    seconds: float
    is_whole: bool
    run: RunState = RunState.ran


_CASES = (
    Case(FaultKind.none, 0, is_whole=True),
    Case(FaultKind.cut, 0.3, is_whole=True),
    Case(FaultKind.stall, 4, is_whole=True),
    Case(FaultKind.freeze, 4, is_whole=True),
    Case(FaultKind.garble, 5, is_whole=False),
    Case(FaultKind.refuse, 5, is_whole=False, run=RunState.not_run),
    Case(FaultKind.die, 0, is_whole=False),
)


async def run_case(case: Case, user: UserFleet) -> Answer:
    """Ask for one answer and misbehave once it has begun."""
    if case.fault not in {FaultKind.die, FaultKind.freeze}:
        _order_fault(case, user)
    asking = asyncio.ensure_future(_ask(user, case.fault.value))
    if case.fault in {FaultKind.die, FaultKind.freeze}:
        await asyncio.sleep(_AFTER_SECONDS)
        _order_fault(case, user)
    answer = await asking
    if case.fault is not FaultKind.die:
        _order_fault(_CASES[0], user)
    return answer


async def _ask(user: UserFleet, text: str) -> Answer:
    caller = Caller(user.addresses, user.plan.teams[0])
    prompt = f'length={_FLAGS.length} {text}'
    return await caller.generate(user.plan.model, {'prompt': prompt})


def _order_fault(case: Case, user: UserFleet) -> None:
    fault = {
        'kind': case.fault.value,
        'seconds': case.seconds,
        'after_tokens': _AFTER_TOKENS,
    }
    for engine in user.engines:
        send(engine.url, 'POST', '/faults', fault)


def find_faults(case: Case, answer: Answer, length: int) -> list[str]:
    """Return what is wrong with an answer."""
    count = len(answer.tokens)
    checks = {
        'tokens missing, doubled or out of order': (
            answer.tokens == [f't{index}' for index in range(count)]
        ),
        'whole but short': not answer.is_whole or count == length,
        'not whole': answer.is_whole or not case.is_whole,
        'incomplete without a reason': answer.is_whole or bool(answer.reason),
        f'verdict is not {case.run.value}': answer.verdict is case.run,
    }
    return [name for name, holds in checks.items() if not holds]


async def run_cases(user: UserFleet) -> int:
    """Print one line a case; return how many are wrong."""
    wrong = 0
    for case in _CASES:
        if case.fault is FaultKind.die:
            wrong += _report('nodes', _CASES[0], await lose_nodes(user))
        answer = await run_case(case, user)
        wrong += _report(case.fault.value, case, answer)
    return wrong


async def lose_nodes(user: UserFleet) -> Answer:
    """Ask for one answer and kill all nodes but the last meanwhile."""
    asking = asyncio.ensure_future(_ask(user, 'nodes'))
    for node in user.nodes[:-1]:
        await asyncio.sleep(_AFTER_SECONDS)
        node.process.kill()
    return await asking


def _report(name: str, case: Case, answer: Answer) -> bool:
    faults = find_faults(case, answer, _FLAGS.length)
    print(
        f'{name:8} {answer.verdict.value:8} '
        + f'{answer.ending or "-":11} {len(answer.tokens):4} tokens '
        + f'{answer.reason} {answer.detail} {faults or "ok"}',
        flush=True,
    )
    return bool(faults)


def main() -> None:
    """Run every case; exit 0 when each ended as it must."""
    parse_flags(_FLAGS)
    with (
        tempfile.TemporaryDirectory() as folder,
        run_fleet(Path(folder)) as fleet,
    ):
        user = UserFleet(fleet, SMALL)
        wrong = run_until_done(lambda: run_cases(user))
    sys.exit(1 if wrong else 0)


if __name__ == '__main__':
    main()
