"""Time that also passes while the host is suspended.

The monotonic clock stands still during a suspension, so the age of a belief is
measured with the boot-time clock.
"""

from __future__ import annotations

import time


def get_boottime() -> float:
    """Return seconds since boot, suspensions included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
