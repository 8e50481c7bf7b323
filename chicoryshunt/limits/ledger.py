"""A keeper's account of one target: votes, holders, orphans, grants."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from chicoryshunt.connection.target_api import LoadReport
from chicoryshunt.invariants import Invariant, InvariantChecker
from chicoryshunt.limits.accounts import Accounts
from chicoryshunt.limits.claims import (
    Claim,
    Excess,
    Grant,
    LeaseTimes,
    Release,
)
from chicoryshunt.limits.holders import Holder
from chicoryshunt.limits.orphans import Orphan, Orphans
from chicoryshunt.limits.sharing import share_slots, spread_evenly
from chicoryshunt.limits.votes import Vote, Votes
from chicoryshunt.policy.slots import Headroom, LoadSnapshot
from chicoryshunt.types import TargetId, VmId

_EARLIER = 0
_PUSH_SECONDS = 0.5
_TRIM_SECONDS = 120.0
_STEPS = 16
_MS_PER_SECOND = 1000
_US_PER_MS = 1000
_ANSWER_BITS = 30


@dataclass(frozen=True, slots=True)
class TargetLimit:
    """What a target can bear now, and how long a request may run on it."""

    capacity: Headroom
    run_seconds: float

    @property
    def slots(self) -> int:
        """Return the slots."""
        return self.capacity.slots


class Ledger:
    """Grants at most what the votes of the panel are worth."""

    def __init__(
        self,
        target: TargetId,
        times: LeaseTimes,
        epoch: int,
        invariants: InvariantChecker,
    ) -> None:
        """Start without votes; answers are numbered apart for each epoch."""
        self.target = target
        self.epoch = epoch
        self.holders: dict[VmId, Holder] = {}
        self.limit = TargetLimit(Headroom(0, 0), 0)
        self._votes = Votes()
        self._orphans = Orphans()
        self._accounts = Accounts()
        self._urgent_account = 0
        self._times = times
        self._invariants = invariants
        self._answer = Random(epoch).getrandbits(_ANSWER_BITS)
        self.load: LoadReport | None = None
        self._load_at: float = 0
        self._foreign = 0
        self._reports: deque[tuple[float, int]] = deque()
        self._trim_at: float = 0

    def claim(
        self,
        vm: VmId,
        epoch: int,
        claim: Claim,
        now: float,
    ) -> Grant | None:
        """Take a claim and return the grant, or nothing if it is stale."""
        holder = self._find_holder(vm, epoch, now)
        if holder is None or claim.number <= holder.number:
            return None
        holder.take(claim, now, now + self._times.term)
        self._inherit(claim, now)
        self._count_vote(holder, claim, now)
        if claim.inherited:
            self._accounts.record(self._list_excess())
        return self._grant(holder, claim.excess_version, now)

    def list_pushes(self, now: float) -> Iterator[tuple[VmId, Grant]]:
        """Return changes of grants that should not wait for a claim."""
        targets = self._find_targets(now)
        missing = sum(one.missing for one in self.holders.values())
        free = self.compute_capacity(now) - self.count_occupied()
        for holder in self.holders.values():
            target = targets[holder.vm]
            is_due = (
                self._is_news(holder)
                or (missing > free and target < holder.told)
                or self._can_raise(holder, target, now)
            )
            if is_due and holder.next_push <= now < holder.expires:
                holder.next_push = now + _PUSH_SECONDS
                account = holder.account_told
                yield holder.vm, self._grant(holder, account, now)

    def expire(self, now: float) -> None:
        """Forget what ended, and count what a lost holder may still run."""
        self._votes.expire(now)
        self._orphans.expire(now)
        for holder in tuple(self.holders.values()):
            if holder.expires <= now:
                self._lose(holder, now)
        settled = now - self._times.term
        while self._reports and self._reports[0][0] <= settled:
            fetched, running = self._reports.popleft()
            self._settle(fetched, running)
        if now >= self._trim_at:
            self._trim_at = now + _TRIM_SECONDS
            self._accounts.publish(self._list_excess())

    def take_load(self, report: LoadReport, now: float) -> None:
        """Take a report that the target gave just now."""
        self.load = report
        self._load_at = now
        running = report.running + report.waiting
        self._reports.append((now, running))
        start = now - self._times.load_lag - self._times.interval
        known = sum(one.find_high(start) for one in self.holders.values())
        lost = sum(one.slots for one in self._orphans.list_entries())
        self._foreign = max(0, running - known - lost)

    def release(self) -> Iterator[tuple[VmId, Release]]:
        """Return the messages that give every vote back."""
        excess = tuple(self._list_excess())
        number = self._accounts.number + 1
        for vm in self._votes.list_voters():
            yield vm, Release(self.target, self.epoch, number, excess)

    def compute_capacity(self, now: float) -> int:
        """Return the slots that may be out now, all holders together."""
        limit = self.limit.slots
        worth = self._votes.compute_worth(limit, now + self._times.term)
        cost = self._orphans.compute_cost(self._is_voting)
        return min(worth - cost, limit - max(cost, self._foreign))

    def count_occupied(self) -> int:
        """Return the slots that live holders may have."""
        return sum(holder.occupied for holder in self.holders.values())

    def _find_holder(self, vm: VmId, epoch: int, now: float) -> Holder | None:
        holder = self.holders.get(vm)
        if holder is not None and holder.epoch < epoch:
            self._lose(holder, now)
            holder = None
        if holder is None:
            holder = Holder(vm, epoch, now)
            self.holders[vm] = holder
            self._orphans.drop(vm, epoch)
        return holder if holder.epoch == epoch else None

    def _lose(self, holder: Holder, now: float) -> None:
        self.holders.pop(holder.vm)
        if holder.occupied:
            self._orphans.add(
                Orphan(
                    holder.vm,
                    holder.epoch,
                    holder.occupied,
                    min(holder.cover, holder.occupied),
                    since=max(now, holder.expires),
                    until=max(now, holder.expires) + self.limit.run_seconds,
                ),
            )

    def _inherit(self, claim: Claim, now: float) -> None:
        since = now + self._times.term
        for excess in claim.inherited:
            holder = self.holders.get(excess.vm)
            if holder is None or holder.epoch != excess.epoch:
                self._orphans.add(
                    Orphan(
                        excess.vm,
                        excess.epoch,
                        excess.slots + excess.covered,
                        excess.covered,
                        since,
                        since + self.limit.run_seconds,
                    ),
                )

    def _count_vote(self, holder: Holder, claim: Claim, now: float) -> None:
        limit = self.limit.slots
        worths = [seat.compute_worth(limit) for seat in claim.shares]
        holder.cover = min(worths, default=0)
        if not claim.is_fresh:
            self._orphans.drop(holder.vm, _EARLIER)
        sent = holder.answers.get(claim.grant_number)
        if sent is None or not claim.shares:
            return
        known = self._votes.find(holder.vm)
        if claim.is_fresh and (known is None or known.epoch != holder.epoch):
            until = now + self.limit.run_seconds
            earlier = Orphan(holder.vm, _EARLIER, max(worths), 0, now, until)
            self._orphans.add(earlier)
        until = sent + self._times.vote_term
        vote = Vote(holder.epoch, claim.shares, until, claim.excess_version)
        self._votes.record(holder.vm, vote)

    def _find_targets(self, now: float) -> dict[VmId, int]:
        """Return the slots that each holder should have."""
        capacity = max(0, self.compute_capacity(now))
        demands = {vm: one.want for vm, one in self.holders.items()}
        settled = now - 2 * self._times.interval
        turns = sorted(
            self.holders,
            key=lambda vm: self.holders[vm].find_turn(settled),
        )
        fair = share_slots(capacity, demands, turns)
        return spread_evenly(capacity, dict(sorted(fair.items())))

    def _grant(self, holder: Holder, known_account: int, now: float) -> Grant:
        target = self._find_targets(now)[holder.vm]
        free = self.compute_capacity(now) - self.count_occupied()
        bound = self._find_bound(holder, now)
        needed = min(target, holder.want)
        if needed > bound and free > 0:
            self._register(holder, needed)
            bound = self._find_bound(holder, now)
        slots = max(0, min(target, holder.occupied + free, bound))
        if not self._may_grant(holder, slots):
            slots = min(slots, holder.occupied)
        self._answer += 1
        holder.answer(self._answer, slots, now)
        holder.account_told = self._accounts.number
        slack = self.limit.capacity
        return Grant(
            self.target,
            holder.number,
            self.epoch,
            self._answer,
            slots,
            slack.memory_tokens // max(1, slack.slots),
            self._accounts.number,
            excess=self._accounts.find_news(known_account),
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
        """Say whether nothing is left of the VM's earlier process."""
        vote = self._votes.find(holder.vm)
        if vote is None or vote.epoch != holder.epoch:
            return False
        return not self._orphans.has(holder.vm, _EARLIER)

    def _find_bound(self, holder: Holder, now: float) -> int:
        """Return the slots that would be known if this keeper were lost."""
        until = now + self._times.term
        cover = self._votes.compute_cover(
            holder.vm,
            self.limit.slots,
            until,
        )
        numbers = [vote.account for vote in self._votes.list_valid(until)]
        holding = (holder.vm, holder.epoch)
        return cover + self._accounts.find_known(holding, numbers)

    def _register(self, holder: Holder, target: int) -> None:
        """Tell the voters of slots that a holder is going to have."""
        step = max(1, self.limit.slots // _STEPS)
        beyond = max(0, target - holder.cover)
        rounded = -(-beyond // step) * step
        known = self._accounts.latest.get((holder.vm, holder.epoch))
        if known is None or known.slots < rounded:
            expected = Excess(
                holder.vm,
                holder.epoch,
                rounded,
                holder.cover,
            )
            self._accounts.record((*self._list_excess(), expected))
            self._urgent_account = self._accounts.number

    def _list_excess(self) -> Iterator[Excess]:
        for holder in self.holders.values():
            beyond = holder.occupied - holder.cover
            yield Excess(holder.vm, holder.epoch, beyond, holder.cover)
        for orphan in self._orphans.list_entries():
            beyond = orphan.slots - orphan.covered
            yield Excess(orphan.vm, orphan.epoch, beyond, orphan.covered)

    def _is_news(self, holder: Holder) -> bool:
        is_told = holder.account_told >= self._urgent_account
        return not is_told and self._is_voting(holder.vm)

    def _can_raise(self, holder: Holder, target: int, now: float) -> bool:
        if not holder.told < min(holder.want, target):
            return False
        free = self.compute_capacity(now) - self.count_occupied()
        bound = self._find_bound(holder, now)
        needed = min(holder.want, target)
        return free > 0 and (bound > holder.told or needed > bound)

    def _is_voting(self, vm: VmId) -> bool:
        return self._votes.find(vm) is not None

    def _settle(self, fetched: float, running: int) -> None:
        start = fetched - self._times.load_lag
        known = sum(
            holder.find_low(start, fetched) for holder in self.holders.values()
        )
        self._orphans.settle(running - known, start)

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
