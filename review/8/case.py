"""The origin corrupts one digit of one manifest; the version is never loaded.

Version 2 is named. The first answer with its manifest has a wrong digit in one digest;
all others, and all pieces, are sound.
"""

from __future__ import annotations

from pathlib import Path

import model
import rig

HOSTS = ("127.0.0.2", "127.0.0.3")
PER_S = 10
# Seconds from the start of traffic.
NAMED_AT_S = 3.0
# The wrong answer is sent 0.1 s after the naming.
TROUBLE_END_S = 4.0
END_S = 50.0


async def case():
    async with rig.Rig(Path(__file__).parent) as parts:
        fleet = model.ModelFleet(parts, HOSTS)
        await fleet.start()

        def name_version():
            fleet.origin.spoilt_manifests = int(rig.HAS_TROUBLE)
            fleet.name_version(2)

        await fleet.send_traffic(END_S, PER_S, [(NAMED_AT_S, name_version)])
        return fleet.judge(NAMED_AT_S, TROUBLE_END_S)


rig.run(case)
