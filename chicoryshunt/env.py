"""Facts about the environment the process runs in."""

import os
import sys

PYTHON = sys.version_info[:3]
PROCESS_ID = os.getpid()
