"""Takes an owned request to the node whose memory decides on it."""

from collections import OrderedDict

import msgspec

from chicoryshunt.events import log_problem
from chicoryshunt.membership.members import Members
from chicoryshunt.nodes.peers import Method, PeerCaller, PeerError
from chicoryshunt.ownership.grants import OwnerId
from chicoryshunt.ownership.owner import (
    OwnedRequest,
    Owner,
    doubt_owner,
)
from chicoryshunt.ownership.succession import rank_successors
from chicoryshunt.request.call import PlainCall
from chicoryshunt.request.outcome import CallOutcome
from chicoryshunt.types import IdempotencyKey, VmId

ANSWER_MARGIN_SECONDS = 2.0
SUCCESSOR_SECONDS = 1.0

_MAX_REMEMBERED = 1024


class OwnedCall(msgspec.Struct, frozen=True, array_like=True):
    """A plain call on its way to the owner of its grant."""

    token: str
    key: IdempotencyKey
    call: PlainCall


class OwnerAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Outcome of an owned call; ``None`` where its records are not held."""

    outcome: CallOutcome | None


SUBMIT = Method('submit', OwnedCall, OwnerAnswer)


class Forwarder:
    """Asks the owner, then those that would hold its records.

    A request costs at most one call to the owner and one to each successor
    that the owner could have named.
    """

    def __init__(
        self,
        owner: Owner,
        peers: PeerCaller,
        members: Members,
    ) -> None:
        """Remember no holder yet."""
        self._owner = owner
        self._peers = peers
        self._members = members
        self._holders: OrderedDict[OwnerId, VmId] = OrderedDict()

    async def forward(
        self,
        request: OwnedRequest,
        call: OwnedCall,
        seconds: float,
    ) -> CallOutcome:
        """Return what the owner or a holder of its records says."""
        origin = request.owner_id
        for vm in self._list_asked(origin):
            is_owner = vm == origin.vm
            outcome = await self._ask(
                vm,
                call,
                seconds + ANSWER_MARGIN_SECONDS
                if is_owner
                else SUCCESSOR_SECONDS,
            )
            if outcome is not None:
                self._remember(origin, vm)
                return outcome
        return doubt_owner(f'{origin.vm} or a successor did not answer')

    def _list_asked(self, origin: OwnerId) -> list[VmId]:
        known = self._holders.get(origin)
        asked = [] if known is None else [known]
        asked.append(origin.vm)
        asked.extend(rank_successors(origin, self._members))
        own = self._owner.owner_id.vm
        return [vm for vm in dict.fromkeys(asked) if vm != own]

    async def _ask(
        self,
        vm: VmId,
        call: OwnedCall,
        seconds: float,
    ) -> CallOutcome | None:
        try:
            answer = await self._peers.call(vm, SUBMIT, call, seconds)
        except PeerError as error:
            log_problem('owner_unreachable', owner=vm, error=str(error))
            return None
        return answer.outcome

    def _remember(self, origin: OwnerId, vm: VmId) -> None:
        if vm == origin.vm:
            return
        self._holders[origin] = vm
        if len(self._holders) > _MAX_REMEMBERED:
            self._holders.popitem(last=False)
