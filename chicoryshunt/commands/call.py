"""The command that sends one request as a caller."""

from collections.abc import Sequence

from chicoryshunt.caller import CALL_FLAGS, run_call
from chicoryshunt.commands.command import Command
from chicoryshunt.connection.loop import install_reactor


def run(arguments: Sequence[str]) -> int:
    """Send one request and print the answer."""
    install_reactor()
    return run_call()


COMMAND = Command('call', 'Send one request as a caller', CALL_FLAGS, run)
