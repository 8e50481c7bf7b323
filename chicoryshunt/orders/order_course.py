"""How one target is brought to what operators want it to hold."""

from dataclasses import dataclass

from chicoryshunt.connection.target_api import LoadReport, Order
from chicoryshunt.version.config import DesiredState

CHECK_SECONDS = 5.0
RETRY_SECONDS = 1.0
LOAD_SECONDS = 120.0
GIVE_UP_SECONDS = 30.0
FENCE_STRIDE = 1024


@dataclass(frozen=True, slots=True)
class Pending:
    """An order that a target may be carrying out until a time."""

    order: Order
    start: int
    until: float

    @property
    def desired(self) -> DesiredState:
        """Return what the target holds when the order is carried out."""
        order = self.order
        return DesiredState(order.model_version, order.adapters, order.role)

    def is_over(self, report: LoadReport, now: float) -> bool:
        """Say whether the target has done it, lost it or taken too long."""
        return (
            now >= self.until
            or report.start != self.start
            or is_reached(self.desired, report)
        )


@dataclass(slots=True)
class FenceCounter:
    """Highest fencing number of one target that this process knows."""

    highest: int = 0

    def note(self, fence: int) -> None:
        """Remember a number that was seen."""
        self.highest = max(self.highest, fence)

    def build(self, rank: int) -> int:
        """Return a number above all seen that no other node builds."""
        above = self.highest // FENCE_STRIDE + 1
        self.highest = above * FENCE_STRIDE + rank
        return self.highest


@dataclass(slots=True)
class Course:
    """The keeper's memory of one target; times are monotonic seconds."""

    fences: FenceCounter
    settled_at: float
    due: float
    is_busy: bool = False
    number: int = 0
    report_start: int = 0
    pending: Pending | None = None

    def start(self, number: int, now: float) -> None:
        """Begin a read or an order under a number; give it up in time."""
        self.is_busy = True
        self.number = number
        self.due = now + GIVE_UP_SECONDS

    def wait(self, until: float) -> None:
        """Do nothing until a time, then read again."""
        self.is_busy = False
        self.due = until

    def hurry(self, now: float) -> None:
        """Read at once unless something is under way."""
        if not self.is_busy:
            self.due = min(self.due, now)

    def note_report(self, report: LoadReport, now: float) -> None:
        """Remember what the target says of itself."""
        self.fences.note(report.fence)
        self.report_start = report.start
        if self.pending is not None and self.pending.is_over(report, now):
            self.pending = None

    def note_pending(self, order: Order, now: float) -> None:
        """Remember an order that the target has, or may have."""
        self.fences.note(order.fence)
        self.pending = Pending(order, self.report_start, now + LOAD_SECONDS)


def holds_weights(desired: DesiredState, report: LoadReport) -> bool:
    """Say whether a target holds the wanted model version and adapters."""
    return report.model_version == desired.model_version and set(
        report.adapters,
    ) == set(desired.adapters)


def is_reached(desired: DesiredState, report: LoadReport) -> bool:
    """Say whether a target is what operators want."""
    return holds_weights(desired, report) and report.role == desired.role
