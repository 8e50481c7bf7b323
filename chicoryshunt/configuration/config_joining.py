"""Start of a node that has no configuration yet."""

from math import inf

from chicoryshunt.configuration.configuration import Configuration
from chicoryshunt.events import log_event, log_problem
from chicoryshunt.version.replica import Replica

PEER_WAIT_SECONDS = 3.0
MAX_PEER_WAIT_SECONDS = 10.0
OFFER_VALID_SECONDS = 2.0


class Joining:
    """Delays a start from the service until peers had time to answer.

    The service may be behind the peers. ``candidate`` holds what was read
    from it meanwhile.
    """

    def __init__(self, configuration: Configuration) -> None:
        """Start the wait at the first tick."""
        self.candidate = Replica()
        self._configuration = configuration
        self._started_at: float | None = None
        self._offered_at = -inf
        self._is_reported = False

    @property
    def is_joining(self) -> bool:
        """Return whether this node has no configuration in force."""
        return self._configuration.current is None

    def record_offer(self, now: float) -> None:
        """Record that a peer offered a configuration."""
        self._offered_at = now

    def tick(self, now: float) -> None:
        """Start from the service once peers had time to answer.

        A recent offer of a peer extends the wait up to
        ``MAX_PEER_WAIT_SECONDS``.
        """
        if self._started_at is None:
            self._started_at = now
        waited = now - self._started_at
        if not self.is_joining or waited < PEER_WAIT_SECONDS:
            return
        if (
            waited < MAX_PEER_WAIT_SECONDS
            and now - self._offered_at < OFFER_VALID_SECONDS
        ):
            return
        if self.candidate.config is None:
            self._report_missing(waited)
            return
        log_event('config_from_service', waited=waited)
        self._configuration.start_from(self.candidate)

    def _report_missing(self, waited: float) -> None:
        if not self._is_reported:
            log_problem('config_missing', waited=waited)
        self._is_reported = True
