"""Forwards an owned request to the node that can decide on it."""

from collections import OrderedDict

import msgspec

from chicoryshunt.events import log_problem
from chicoryshunt.membership.members import Members
from chicoryshunt.nodes.peers import Method, PeerCaller, PeerError
from chicoryshunt.ownership.grants import OwnerId
from chicoryshunt.ownership.owner import (
    OwnedRequest,
    Owner,
    answer_owner_unreachable,
)
from chicoryshunt.ownership.succession import rank_successors
from chicoryshunt.request.call import PlainCall
from chicoryshunt.request.outcome import CallOutcome
from chicoryshunt.types import IdempotencyKey, VmId

ANSWER_MARGIN_SECONDS = 2.0
SUCCESSOR_SECONDS = 1.0

_MAX_CACHED_HOLDERS = 1024


class OwnedCall(msgspec.Struct, frozen=True, array_like=True):
    """Plain call that is forwarded to the owner of its grant."""

    token: str
    key: IdempotencyKey
    call: PlainCall


class OwnerAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Outcome of an owned call; ``None`` without the owner's records."""

    outcome: CallOutcome | None


SUBMIT = Method('submit', OwnedCall, OwnerAnswer)


class Forwarder:
    """Forwards calls to the owner, then to nodes that may hold its records.

    A request costs at most one call to the owner and one to each successor
    that the owner could have chosen.
    """

    def __init__(
        self,
        owner: Owner,
        peers: PeerCaller,
        members: Members,
    ) -> None:
        """Start without known holders."""
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
        """Return the outcome from the owner or a holder of its records."""
        owner_id = request.owner_id
        for vm in self._list_candidates(owner_id):
            is_owner = vm == owner_id.vm
            outcome = await self._submit(
                vm,
                call,
                seconds + ANSWER_MARGIN_SECONDS
                if is_owner
                else SUCCESSOR_SECONDS,
            )
            if outcome is not None:
                self._cache_holder(owner_id, vm)
                return outcome
        return answer_owner_unreachable(
            f'{owner_id.vm} or a successor did not answer'
        )

    def _list_candidates(self, owner_id: OwnerId) -> list[VmId]:
        known = self._holders.get(owner_id)
        candidates = [] if known is None else [known]
        candidates.append(owner_id.vm)
        candidates.extend(rank_successors(owner_id, self._members))
        own = self._owner.owner_id.vm
        return [vm for vm in dict.fromkeys(candidates) if vm != own]

    async def _submit(
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

    def _cache_holder(self, owner_id: OwnerId, vm: VmId) -> None:
        if vm == owner_id.vm:
            return
        self._holders[owner_id] = vm
        if len(self._holders) > _MAX_CACHED_HOLDERS:
            self._holders.popitem(last=False)
