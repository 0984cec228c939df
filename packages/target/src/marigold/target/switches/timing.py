"""Durations of a switch to new weights under load.

A deployment of 51 runners on links of 3.8 Mbit/s had a copy of 2.1 MB complete 6.4 s
after its naming in the region of the origin and after 7.4 s elsewhere, where the
schedule assumed 5.34 s. Runners accepted no requests for 1.3 to 2.3 s, where it assumed
1.0 s.
"""

from __future__ import annotations

# Duration of a copy relative to one over the host's own link without other traffic, in
# the region of the origin (6.4 s for 4.65 s) and elsewhere (7.4 s).
LOCAL_COPY_FACTOR = 1.38
REMOTE_COPY_FACTOR = 1.59
# The same if hosts of the version are at hand; fetches may take 0.85 of a link.
HELD_COPY_FACTOR = 1.2
# Seconds in which the running requests of a paused runner end, usually 1 to 2 s, and
# those of the load that follows.
DRAIN_S = 1.5
LOAD_S = 0.33
# Times in which running requests end, relative to the usual one, of successive runners
# in an order. With the same time for all, an overlap of two waves seems complete or
# absent, depending on milliseconds.
DRAIN_SPREAD = (1.0, 0.73, 1.27, 0.87, 1.13, 0.7, 1.07, 0.8, 1.2, 0.93, 1.33)


class SwitchTiming:
    """Expected seconds of the copy, the end of running requests and the load.

    `copy_time` is the minimum duration of a copy over the host's link, and
    `origin_time` that in which the origin sends one copy, 0 if it is not known.
    """

    __slots__ = ("copy_time", "drain", "load", "origin_time")

    def __init__(
        self,
        copy_time: float,
        drain: float = DRAIN_S,
        load: float = LOAD_S,
        origin_time: float = 0.0,
    ) -> None:
        self.copy_time = copy_time
        self.origin_time = origin_time
        self.drain = drain
        self.load = load

    @property
    def pause(self) -> float:
        """Return the seconds for which a runner accepts no requests."""
        return self.drain + self.load

    def get_copy_duration(self, is_local: bool) -> float:
        """Return the seconds from the naming of a version to its complete copy."""
        factor = LOCAL_COPY_FACTOR if is_local else REMOTE_COPY_FACTOR
        return self.copy_time * factor

    def get_held_copy_duration(self) -> float:
        """Return the seconds of a copy from hosts that hold the version."""
        return self.copy_time * HELD_COPY_FACTOR
