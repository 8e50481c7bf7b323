"""The failures that trials run under load, one function each."""

import time
from dataclasses import dataclass
from types import MappingProxyType

from lab.trials.failures import (
    ONE_HOUR,
    build_weight_patch,
    cut,
    order_fault,
    pause,
    set_presence,
    set_weight,
)
from lab.trials.fleet import send
from lab.trials.promises import Outage
from lab.trials.trial import Scenario, Trial, read_ledger

PAUSE_SECONDS = 8.0


@dataclass(frozen=True, slots=True)
class Named:
    """One trial and whether only planned stops happen in it."""

    scenario: Scenario
    graceful: bool = False


def wait_start(trial: Trial) -> None:
    """Wait until the load is under way."""
    trial.wait(0.2)


def run_calm(trial: Trial) -> None:
    """Let nothing fail."""
    trial.wait(1)


def kill_node(trial: Trial) -> None:
    """Kill a node and start it again."""
    trial.wait(0.3)
    node = trial.user.nodes[0]
    node.process.kill()
    node.process.wait()
    trial.wait(0.3)
    trial.user.restart_node(node)


def stop_node(trial: Trial) -> None:
    """Stop a node as planned, twice told."""
    trial.wait(0.3)
    process = trial.user.nodes[1].process
    process.terminate()
    time.sleep(0.2)
    process.terminate()
    trial.exits[trial.user.nodes[1].name] = process.wait()


def leave_by_list(trial: Trial) -> None:
    """Mark a node as leaving on the published list, then stop it."""
    trial.wait(0.3)
    name = trial.user.nodes[2].name
    trial.user.publish_vms(name)
    trial.wait(0.3)
    process = trial.user.nodes[2].process
    process.terminate()
    trial.exits[name] = process.wait()


def pause_node(trial: Trial) -> None:
    """Pause a node past every lease and let it wake."""
    wait_start(trial)
    pause(trial.user.nodes[0], PAUSE_SECONDS)


def cut_fleet(trial: Trial) -> None:
    """Cut the fleet in two halves and heal it."""
    wait_start(trial)
    names = [node.name for node in trial.user.nodes]
    cut(trial.user, names[:4], names[4:])
    trial.wait(0.5)
    cut(trial.user, [], [])


def lose_config_service(trial: Trial) -> None:
    """Take the configuration service down, then bring it back stale."""
    user = trial.user
    set_weight(user, 2)
    send(user.platform.config.url, 'POST', '/v1/snapshot')
    set_weight(user, 3)
    wait_start(trial)
    order_fault(user.platform.config.url, 'down')
    wait_start(trial)
    order_fault(user.platform.config.url, 'none')
    order_fault(user.platform.config.url, 'stale')
    kill_node(trial)
    order_fault(user.platform.config.url, 'none')
    set_weight(user, 4)


def take_out_data_centre(trial: Trial) -> None:
    """Take a data centre out and back."""
    wait_start(trial)
    name = trial.user.plan.data_centres[0]
    set_presence(trial.user, name, 'out')
    since = time.time()
    trial.wait(0.5)
    until = time.time()
    set_presence(trial.user, name, 'serving')
    trial.outages.extend(
        Outage(target.name, since, until)
        for target in (*trial.user.engines, *trial.user.services)
        if target.data_centre == name
    )


def take_out_target(trial: Trial) -> None:
    """Take one engine out by configuration."""
    wait_start(trial)
    target = trial.user.engines[0]
    trial.user.publisher.submit(
        [
            {
                'op': 'set_target_presence',
                'name': target.name,
                'presence': 'out',
            },
        ],
    )
    since = time.time()
    trial.leavings.append(Outage(target.name, since, since + ONE_HOUR))
    trial.wait(0.6)


def kill_engine(trial: Trial) -> None:
    """Kill an engine in the middle of its streams."""
    trial.wait(0.3)
    target = trial.user.engines[0]
    trial.ended[target.name] = read_ledger(target)
    target.process.kill()
    target.process.wait()


def freeze_engine(trial: Trial) -> None:
    """Freeze an engine for some seconds."""
    wait_start(trial)
    pause(trial.user.engines[0], PAUSE_SECONDS)


def stall_engine(trial: Trial) -> None:
    """Let an engine go silent in the middle of its streams."""
    wait_start(trial)
    order_fault(trial.user.engines[0].url, 'stall', PAUSE_SECONDS)
    trial.wait(0.5)


def freeze_service(trial: Trial) -> None:
    """Freeze a plain service while filings run."""
    wait_start(trial)
    pause(trial.user.services[0], PAUSE_SECONDS)


def cut_and_kill(trial: Trial) -> None:
    """Cut the fleet while a node is killed and a data centre is out."""
    trial.wait(0.1)
    names = [node.name for node in trial.user.nodes]
    cut(trial.user, names[:3], names[3:])
    kill_node(trial)
    cut(trial.user, [], [])


def race_patches(trial: Trial) -> None:
    """Let two operators race patches against one version."""
    wait_start(trial)
    user = trial.user
    lines = [build_weight_patch(user, 1, weight) for weight in (5, 6)]
    for line in lines:
        user.publisher.append(line)
    trial.wait(0.3)


TRIALS = MappingProxyType(
    {
        'calm': Named(run_calm, graceful=True),
        'kill-node': Named(kill_node),
        'stop-node': Named(stop_node, graceful=True),
        'leave-by-list': Named(leave_by_list, graceful=True),
        'pause-node': Named(pause_node),
        'cut': Named(cut_fleet),
        'config-service': Named(lose_config_service),
        'data-centre-out': Named(take_out_data_centre, graceful=True),
        'target-out': Named(take_out_target, graceful=True),
        'kill-engine': Named(kill_engine),
        'freeze-engine': Named(freeze_engine),
        'stall-engine': Named(stall_engine),
        'freeze-service': Named(freeze_service),
        'cut-and-kill': Named(cut_and_kill),
        'race-patches': Named(race_patches),
    }
)
