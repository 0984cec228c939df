"""Clock that keeps running while the host is suspended.

The monotonic clock stops during a suspension, so the age of cached objects is
measured with the boot-time clock.
"""

from __future__ import annotations

import time

# Upper bound on the time from the start of the process to the first line of the
# program: this multiple of the time that it takes to load the modules, plus seconds.
INTERPRETER_LOAD_RATIO = 0.4
INTERPRETER_S = 0.2


def get_boottime() -> float:
    """Return seconds since boot, suspensions included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


_LOADED_AT = get_boottime()


def estimate_process_start() -> float:
    """Return a boot time in seconds that is not after the start of this process.

    It is derived from the time that loading the modules took, since a slow host also
    needs longer to start the interpreter. Call it once all modules are loaded.
    """
    loading = get_boottime() - _LOADED_AT
    return _LOADED_AT - INTERPRETER_LOAD_RATIO * loading - INTERPRETER_S
