"""Fault switches of the stand-ins.

Every stand-in returns its switches for ``GET /faults`` and changes those in the
JSON object of a ``POST /faults``.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass, fields

from aiohttp import web


@dataclass(slots=True)
class PlatformFaults:
    """Switches of the platform stand-in; times in seconds, rates in bytes a second."""

    outage: bool = False
    delay: float = 0.0
    lost_answers: int = 0
    host_lag: float = 0.0
    weight_rate: float = 0.0
    corrupt_chunks: int = 0
    corrupt_manifests: int = 0
    weight_delay: float = 0.0


@dataclass(slots=True)
class EngineFaults:
    """Switches of the engine stand-in; times in seconds."""

    slowdown: float = 1.0
    ignore_fences: bool = False
    false_loaded: bool = False
    cut_after: int = 0
    stall: bool = False
    load_seconds: float = 0.0


@dataclass(slots=True)
class ServiceFaults:
    """Switches of the service stand-in; times in seconds."""

    delay: float = 0.0
    lost_answers: int = 0
    failures: int = 0


Faults = PlatformFaults | EngineFaults | ServiceFaults


def add_fault_routes(app: web.Application, faults: Faults) -> None:
    """Serve the switches below ``/faults``."""
    known = {field.name for field in fields(faults)}

    async def show(req: web.Request) -> web.Response:
        return web.json_response(asdict(faults))

    async def change(req: web.Request) -> web.Response:
        changes = await req.json()
        if not isinstance(changes, dict) or not changes.keys() <= known:
            raise web.HTTPBadRequest(text=f"the known switches are {sorted(known)}")
        for name, value in changes.items():
            setattr(faults, name, value)
        return web.json_response(asdict(faults))

    app.router.add_get("/faults", show)
    app.router.add_post("/faults", change)


def consume_fault(faults: Faults, name: str) -> bool:
    """Decrement a counted switch; return whether it was above zero."""
    remaining = getattr(faults, name)
    if remaining > 0:
        setattr(faults, name, remaining - 1)
    return remaining > 0
