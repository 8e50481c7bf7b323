"""Puts the parts of the configuration together."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from chicoryshunt.configuration.config_gossip import ConfigGossip
from chicoryshunt.configuration.config_joining import Joining
from chicoryshunt.configuration.config_messages import (
    PULL,
    PullAnswer,
    PullRequest,
)
from chicoryshunt.configuration.config_readers import ReaderElection
from chicoryshunt.configuration.config_reading import ServiceReader, pull_offers
from chicoryshunt.configuration.configuration import Configuration
from chicoryshunt.configuration.log_importer import LogImporter
from chicoryshunt.connection.platform import ConfigService
from chicoryshunt.membership.members import Members
from chicoryshunt.metrics import Metrics
from chicoryshunt.nodes.peers import PeerClient, PeerServer
from chicoryshunt.types import DataCentreId, VmId


@dataclass(frozen=True, slots=True)
class ConfigParts:
    """What keeps the configuration in force up to date."""

    gossip: ConfigGossip
    importer: LogImporter


def build_configuration(
    configuration: Configuration,
    own: VmId,
    data_centre: DataCentreId,
    members: Members,
    rng: random.Random,
    metrics: Metrics,
) -> ConfigParts:
    """Build the core and what it shares with the reader."""
    joining = Joining(configuration)
    readers = ReaderElection(own, data_centre, members, rng)
    return ConfigParts(
        ConfigGossip(own, configuration, joining, readers, members, rng),
        LogImporter(configuration, joining, readers, metrics),
    )


def register_pull(server: PeerServer, spread: ConfigGossip) -> None:
    """Answer the pulls of other nodes."""

    async def answer(sender: VmId, request: PullRequest) -> PullAnswer:
        return spread.answer_pull(request)

    server.register(PULL, answer)


async def keep_configuration(
    parts: ConfigParts,
    service: ConfigService,
    peers: PeerClient,
    metrics: Metrics,
    now: Callable[[], float],
) -> None:
    """Read the service and pull from peers while the process lives."""
    reader = ServiceReader(service, parts.importer, metrics, now)
    await asyncio.gather(reader.run(), pull_offers(parts.gossip, peers))
