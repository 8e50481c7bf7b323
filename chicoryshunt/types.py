"""Ids, states and other basic types that all modules share."""

from enum import Enum
from typing import NewType

VmId = NewType('VmId', str)
DataCentreId = NewType('DataCentreId', str)
TeamId = NewType('TeamId', str)
ModelId = NewType('ModelId', str)
ServiceId = NewType('ServiceId', str)
TargetId = NewType('TargetId', str)
RequestId = NewType('RequestId', str)
GenerationId = NewType('GenerationId', str)
IdempotencyKey = NewType('IdempotencyKey', str)
Incarnation = NewType('Incarnation', int)
ConfigVersion = NewType('ConfigVersion', int)
LogPosition = NewType('LogPosition', int)
Digest = NewType('Digest', str)

Seconds = NewType('Seconds', float)
Tokens = NewType('Tokens', int)


class RunState(Enum):
    """Whether a request has run, has not, or may have."""

    not_run = 'not_run'
    may_have_run = 'may_have_run'
    ran = 'ran'


class Reason(Enum):
    """Reason that a request or message was refused or failed."""

    already_ran = 'already_ran'
    answer_too_large = 'answer_too_large'
    bad_request = 'bad_request'
    body_too_large = 'body_too_large'
    body_truncated = 'body_truncated'
    cancelled = 'cancelled'
    crashing_prompt = 'crashing_prompt'
    config_missing = 'config_missing'
    draining = 'draining'
    engine_garbled = 'engine_garbled'
    engine_lost = 'engine_lost'
    grant_expired = 'grant_expired'
    grant_forged = 'grant_forged'
    grant_missing = 'grant_missing'
    grant_of_other_node = 'grant_of_other_node'
    internal_error = 'internal_error'
    key_reused = 'key_reused'
    no_capacity = 'no_capacity'
    no_target = 'no_target'
    overloaded = 'overloaded'
    owner_unreachable = 'owner_unreachable'
    paused = 'paused'
    queue_timeout = 'queue_timeout'
    request_timeout = 'request_timeout'
    resumed_elsewhere = 'resumed_elsewhere'
    retry_budget = 'retry_budget'
    table_full = 'table_full'
    target_refused = 'target_refused'
    target_timeout = 'target_timeout'
    target_unreachable = 'target_unreachable'
    token_forged = 'token_forged'
    too_many_connections = 'too_many_connections'
    unknown_generation = 'unknown_generation'
    unknown_model = 'unknown_model'
    unknown_path = 'unknown_path'
    unknown_service = 'unknown_service'
    unknown_team = 'unknown_team'


class Delivery(Enum):
    """Delivery of a generation: as a token stream or in one piece."""

    stream = 'stream'
    whole = 'whole'


class VmState(Enum):
    """State of a VM in the membership."""

    live = 'live'
    suspect = 'suspect'
    leaving = 'leaving'
    gone = 'gone'


class TargetState(Enum):
    """State of a target as its keeper sees it."""

    starting = 'starting'
    warming = 'warming'
    warm = 'warm'
    suspect = 'suspect'
    leaving = 'leaving'
    out = 'out'


class Profile(Enum):
    """Measure that the scheduling policy is weighted towards."""

    stall = 'stall'
    preemption = 'preemption'
