"""Interpreter version and id of the process."""

import os
import sys

PYTHON = sys.version_info[:3]
PROCESS_ID = os.getpid()
