"""Builder of nodes that tell each other of crashes, on a simulated network."""

from collections.abc import Collection, Iterable

from chicoryshunt.dispatch.crash_suspects import PartKey
from chicoryshunt.fleet.messages import ClearedParts, CrashNews, CrashRequest
from chicoryshunt.nodes.core import Send
from chicoryshunt.types import TargetId
from tests.fleet_builders import FleetNode, FleetTrial

_DISCOVERY_SECONDS = 8
_MESSAGES = (CrashNews, CrashRequest, ClearedParts)


class CrashFleet:
    """Nodes in three data centres that know each other."""

    def __init__(self, count: int, loss: float = 0) -> None:
        """Lose and duplicate a share of the messages after discovery."""
        self._trial = FleetTrial(count)
        self._trial.network.run(_DISCOVERY_SECONDS)
        self.set_loss(loss)

    def set_loss(self, loss: float) -> None:
        """Lose and duplicate a share of the messages from now on."""
        self._trial.network.disturb(loss)

    def run(self, seconds: float) -> None:
        """Advance the clock and deliver messages."""
        self._trial.network.run(seconds)

    def report(
        self, index: int, target: TargetId, parts: Collection[PartKey]
    ) -> None:
        """Let a node report a crash."""
        node = self._trial.nodes[index]
        now = self._trial.clock.now()
        self._send(node, node.exchanges.crashes.report(target, parts, now))

    def clear(self, index: int, parts: Collection[PartKey]) -> None:
        """Let a node clear parts."""
        node = self._trial.nodes[index]
        self._send(node, node.exchanges.crashes.clear(parts))

    def restart(self, index: int) -> None:
        """Stop a node at once and start it again."""
        node = self._trial.nodes[index]
        self._trial.stop(node)
        self.run(1)
        self._trial.nodes[index] = self._trial.add(
            self._trial.vms[index], incarnation=2
        )

    def count_blocking(self, *parts: PartKey) -> int:
        """Return how many nodes block a request with these parts."""
        return sum(
            node.exchanges.crashes.suspects.find_block(parts) is not None
            for node in self._trial.nodes
        )

    def count_messages(self) -> int:
        """Return how many messages about crashes were sent so far."""
        sent = self._trial.network.payloads
        return sum(sent[kind.__name__] for kind in _MESSAGES)

    def _send(self, node: FleetNode, sends: Iterable[Send]) -> None:
        self._trial.network.send(node.vm, sends)
