"""The process of a node on the users' platform."""

import sys

from chicoryshunt.connection.loop import install_reactor
from chicoryshunt.events import configure_logging
from chicoryshunt.exceptions import ChicoryshuntError
from chicoryshunt.log_stream import LogStream
from chicoryshunt.signals import ignore_reloads, ignore_stop_signals


def run_process() -> int:
    """Run a node and return the exit status."""
    configure_logging(LogStream(sys.stdout.fileno()))
    install_reactor()
    # The import needs the reactor that was just installed.
    from chicoryshunt.platform.node import run_node

    try:
        run_node()
    except ChicoryshuntError as error:
        print(f'chicoryshunt: {error}', file=sys.stderr)
        return 1
    finally:
        ignore_stop_signals()
        ignore_reloads()
    return 0
