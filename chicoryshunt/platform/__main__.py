"""Runs a node on the users' platform."""

import sys

from chicoryshunt.signals import ignore_reloads


def main() -> int:
    """Run a node and return the exit status."""
    ignore_reloads()
    # The import takes a while, in which a reload must not end the process.
    from chicoryshunt.platform.process import run_process

    return run_process()


if __name__ == '__main__':
    sys.exit(main())
