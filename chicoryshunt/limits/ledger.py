"""A keeper's ledger of one target: votes, holders and grants."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from chicoryshunt.connection.target_api import LoadReport
from chicoryshunt.invariants import Invariant, InvariantChecker
from chicoryshunt.limits.allocation import allocate_fairly, spread_evenly
from chicoryshunt.limits.claims import (
    Claim,
    Excess,
    Grant,
    LeaseTimes,
    Release,
)
from chicoryshunt.limits.excess_history import ExcessHistory
from chicoryshunt.limits.holders import Holder
from chicoryshunt.limits.lost_holders import LostHolder, LostHolders
from chicoryshunt.limits.votes import Vote, Votes
from chicoryshunt.policy.slots import Headroom, LoadSnapshot
from chicoryshunt.types import TargetId, VmId

_EARLIER_EPOCH = 0
_PUSH_SECONDS = 0.5
_TRIM_SECONDS = 120.0
_EXCESS_STEPS = 16
_MS_PER_SECOND = 1000
_US_PER_MS = 1000
_GRANT_NUMBER_BITS = 30


@dataclass(frozen=True, slots=True)
class TargetLimit:
    """What a target can run now, and the longest run of a request."""

    capacity: Headroom
    run_seconds: float

    @property
    def slots(self) -> int:
        """Return the slots."""
        return self.capacity.slots


class Ledger:
    """Grants at most the slots that the voters of a target lend."""

    def __init__(
        self,
        target: TargetId,
        times: LeaseTimes,
        epoch: int,
        invariants: InvariantChecker,
    ) -> None:
        """Start without votes.

        Grant numbers start at random, so that those of another epoch differ.
        """
        self.target = target
        self.epoch = epoch
        self.holders: dict[VmId, Holder] = {}
        self.limit = TargetLimit(Headroom(0, 0), 0)
        self._votes = Votes()
        self._lost_holders = LostHolders()
        self._excess_history = ExcessHistory()
        self._urgent_version = 0
        self._times = times
        self._invariants = invariants
        self._grant_number = Random(epoch).getrandbits(_GRANT_NUMBER_BITS)
        self.load: LoadReport | None = None
        self._load_at: float = 0
        self._unaccounted = 0
        self._reports: deque[tuple[float, int]] = deque()
        self._trim_at: float = 0

    def handle_claim(
        self,
        vm: VmId,
        epoch: int,
        claim: Claim,
        now: float,
    ) -> Grant | None:
        """Apply a claim; return the grant, or nothing if it is stale."""
        holder = self._find_holder(vm, epoch, now)
        if holder is None or claim.number <= holder.claim_number:
            return None
        holder.apply_claim(claim, now, now + self._times.term)
        self._inherit(claim, now)
        self._record_vote(holder, claim, now)
        if claim.inherited:
            self._excess_history.record(self._list_excess())
        return self._grant(holder, claim.excess_version, now)

    def list_pushes(self, now: float) -> Iterator[tuple[VmId, Grant]]:
        """Return changed grants that should not wait for a claim."""
        allocations = self._allocate(now)
        missing = sum(one.missing for one in self.holders.values())
        free = self.compute_capacity(now) - self.count_occupied()
        for holder in self.holders.values():
            allocated = allocations[holder.vm]
            is_due = (
                self._needs_excess_update(holder)
                or (missing > free and allocated < holder.granted)
                or self._can_raise(holder, allocated, now)
            )
            if is_due and holder.next_push <= now < holder.expires:
                holder.next_push = now + _PUSH_SECONDS
                known = holder.excess_version
                yield holder.vm, self._grant(holder, known, now)

    def expire(self, now: float) -> None:
        """Drop what expired; count what lost holders may still run."""
        self._votes.expire(now)
        self._lost_holders.expire(now)
        for holder in tuple(self.holders.values()):
            if holder.expires <= now:
                self._mark_lost(holder, now)
        settled = now - self._times.term
        while self._reports and self._reports[0][0] <= settled:
            fetched, running = self._reports.popleft()
            self._apply_report(fetched, running)
        if now >= self._trim_at:
            self._trim_at = now + _TRIM_SECONDS
            self._excess_history.publish(self._list_excess())

    def take_load(self, report: LoadReport, now: float) -> None:
        """Record a load report that was just read."""
        self.load = report
        self._load_at = now
        running = report.running + report.waiting
        self._reports.append((now, running))
        start = now - self._times.load_lag - self._times.interval
        known = sum(
            one.find_max_occupied(start) for one in self.holders.values()
        )
        lost = sum(one.slots for one in self._lost_holders.list_entries())
        self._unaccounted = max(0, running - known - lost)

    def release(self) -> Iterator[tuple[VmId, Release]]:
        """Return the messages that give every vote back."""
        excess = tuple(self._list_excess())
        version = self._excess_history.version + 1
        for vm in self._votes.list_voters():
            yield vm, Release(self.target, self.epoch, version, excess)

    def compute_capacity(self, now: float) -> int:
        """Return the slots that all holders together may have now."""
        limit = self.limit.slots
        lent = self._votes.compute_total(limit, now + self._times.term)
        cost = self._lost_holders.compute_cost(self._is_voting)
        return min(lent - cost, limit - max(cost, self._unaccounted))

    def count_occupied(self) -> int:
        """Return the slots that live holders may use."""
        return sum(holder.occupied for holder in self.holders.values())

    def _find_holder(self, vm: VmId, epoch: int, now: float) -> Holder | None:
        holder = self.holders.get(vm)
        if holder is not None and holder.epoch < epoch:
            self._mark_lost(holder, now)
            holder = None
        if holder is None:
            holder = Holder(vm, epoch, now)
            self.holders[vm] = holder
            self._lost_holders.drop(vm, epoch)
        return holder if holder.epoch == epoch else None

    def _mark_lost(self, holder: Holder, now: float) -> None:
        self.holders.pop(holder.vm)
        if holder.occupied:
            self._lost_holders.add(
                LostHolder(
                    holder.vm,
                    holder.epoch,
                    holder.occupied,
                    min(holder.lent, holder.occupied),
                    since=max(now, holder.expires),
                    until=max(now, holder.expires) + self.limit.run_seconds,
                ),
            )

    def _inherit(self, claim: Claim, now: float) -> None:
        since = now + self._times.term
        for excess in claim.inherited:
            holder = self.holders.get(excess.vm)
            if holder is None or holder.epoch != excess.epoch:
                self._lost_holders.add(
                    LostHolder(
                        excess.vm,
                        excess.epoch,
                        excess.slots + excess.covered,
                        excess.covered,
                        since,
                        since + self.limit.run_seconds,
                    ),
                )

    def _record_vote(self, holder: Holder, claim: Claim, now: float) -> None:
        limit = self.limit.slots
        share_slots = [share.compute_slots(limit) for share in claim.shares]
        holder.lent = min(share_slots, default=0)
        if not claim.is_fresh:
            self._lost_holders.drop(holder.vm, _EARLIER_EPOCH)
        sent = holder.grant_times.get(claim.grant_number)
        if sent is None or not claim.shares:
            return
        known = self._votes.find(holder.vm)
        if claim.is_fresh and (known is None or known.epoch != holder.epoch):
            until = now + self.limit.run_seconds
            earlier = LostHolder(
                holder.vm, _EARLIER_EPOCH, max(share_slots), 0, now, until
            )
            self._lost_holders.add(earlier)
        until = sent + self._times.vote_term
        vote = Vote(holder.epoch, claim.shares, until, claim.excess_version)
        self._votes.record(holder.vm, vote)

    def _allocate(self, now: float) -> dict[VmId, int]:
        """Return the slots that each holder should have."""
        capacity = max(0, self.compute_capacity(now))
        demands = {vm: one.wanted for vm, one in self.holders.items()}
        settled = now - 2 * self._times.interval
        order = sorted(
            self.holders,
            key=lambda vm: self.holders[vm].find_priority(settled),
        )
        fair = allocate_fairly(capacity, demands, order)
        return spread_evenly(capacity, dict(sorted(fair.items())))

    def _grant(self, holder: Holder, known_version: int, now: float) -> Grant:
        allocated = self._allocate(now)[holder.vm]
        free = self.compute_capacity(now) - self.count_occupied()
        bound = self._find_bound(holder, now)
        needed = min(allocated, holder.wanted)
        if needed > bound and free > 0:
            self._announce_excess(holder, needed)
            bound = self._find_bound(holder, now)
        slots = max(0, min(allocated, holder.occupied + free, bound))
        if not self._may_grant(holder, slots):
            slots = min(slots, holder.occupied)
        self._grant_number += 1
        holder.record_grant(self._grant_number, slots, now)
        holder.excess_version = self._excess_history.version
        capacity = self.limit.capacity
        return Grant(
            self.target,
            holder.claim_number,
            self.epoch,
            self._grant_number,
            slots,
            capacity.memory_tokens // max(1, capacity.slots),
            self._excess_history.version,
            excess=self._excess_history.find_update(known_version),
            load=self._build_load(now),
            is_clear=self._is_clear(holder),
        )

    def _may_grant(self, holder: Holder, slots: int) -> bool:
        """Say whether all holders together stay within the limit."""
        raised = slots - holder.occupied
        total = self.count_occupied() + raised
        return self._invariants.check(
            Invariant.start_limit,
            raised <= 0 or total <= self.limit.slots,
            target=self.target,
            granted=total,
            limit=self.limit.slots,
        )

    def _is_clear(self, holder: Holder) -> bool:
        """Say whether no request of the VM's earlier process is left."""
        vote = self._votes.find(holder.vm)
        if vote is None or vote.epoch != holder.epoch:
            return False
        return not self._lost_holders.has(holder.vm, _EARLIER_EPOCH)

    def _find_bound(self, holder: Holder, now: float) -> int:
        """Return the slots that stay known if this keeper is lost."""
        until = now + self._times.term
        lent = self._votes.compute_lent(
            holder.vm,
            self.limit.slots,
            until,
        )
        versions = [
            vote.excess_version for vote in self._votes.list_valid(until)
        ]
        holder_key = (holder.vm, holder.epoch)
        return lent + self._excess_history.find_common(holder_key, versions)

    def _announce_excess(self, holder: Holder, needed: int) -> None:
        """Publish to the voters the slots that a holder will get."""
        step = max(1, self.limit.slots // _EXCESS_STEPS)
        beyond = max(0, needed - holder.lent)
        rounded = -(-beyond // step) * step
        known = self._excess_history.latest.get((holder.vm, holder.epoch))
        if known is None or known.slots < rounded:
            expected = Excess(
                holder.vm,
                holder.epoch,
                rounded,
                holder.lent,
            )
            self._excess_history.record((*self._list_excess(), expected))
            self._urgent_version = self._excess_history.version

    def _list_excess(self) -> Iterator[Excess]:
        for holder in self.holders.values():
            beyond = holder.occupied - holder.lent
            yield Excess(holder.vm, holder.epoch, beyond, holder.lent)
        for lost in self._lost_holders.list_entries():
            beyond = lost.slots - lost.covered
            yield Excess(lost.vm, lost.epoch, beyond, lost.covered)

    def _needs_excess_update(self, holder: Holder) -> bool:
        is_current = holder.excess_version >= self._urgent_version
        return not is_current and self._is_voting(holder.vm)

    def _can_raise(self, holder: Holder, allocated: int, now: float) -> bool:
        if not holder.granted < min(holder.wanted, allocated):
            return False
        free = self.compute_capacity(now) - self.count_occupied()
        bound = self._find_bound(holder, now)
        needed = min(holder.wanted, allocated)
        return free > 0 and (bound > holder.granted or needed > bound)

    def _is_voting(self, vm: VmId) -> bool:
        return self._votes.find(vm) is not None

    def _apply_report(self, fetched: float, running: int) -> None:
        start = fetched - self._times.load_lag
        known = sum(
            holder.find_min_running(start, fetched)
            for holder in self.holders.values()
        )
        self._lost_holders.apply_report(running - known, start)

    def _build_load(self, now: float) -> LoadSnapshot | None:
        report = self.load
        if report is None:
            return None
        return LoadSnapshot(
            report.start,
            report.running,
            report.waiting,
            report.memory_used,
            round(report.step_ms * _US_PER_MS),
            report.preemptions,
            round((now - self._load_at) * _MS_PER_SECOND),
        )
