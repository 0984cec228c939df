"""Time that also passes while the host is suspended.

The monotonic clock stands still during a suspension, so the age of a belief is
measured with the boot-time clock.
"""

from __future__ import annotations

import time

# What an interpreter takes from its start until it runs the first line of a program, as
# a part of what the program then takes to load its modules, and in seconds.
INTERPRETER_PART = 0.4
INTERPRETER_S = 0.2


def get_boottime() -> float:
    """Return seconds since boot, suspensions included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


_LOADED_AT = get_boottime()


def estimate_process_start() -> float:
    """Return the boot time before which this process did not start, from its loading.

    Call it once all modules are loaded: a slow host takes longer for both.
    """
    loading = get_boottime() - _LOADED_AT
    return _LOADED_AT - INTERPRETER_PART * loading - INTERPRETER_S
