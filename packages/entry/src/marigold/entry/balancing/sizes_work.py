"""Work that a model engine still has before it, estimated from its cost model.

Large streams were cut at their deadline although an engine began them at once, since
every prompt that it admitted later slowed them. The estimate tells how much time the
streams of an engine can still spare. The reports of companions count requests, not
tokens, so the progress of each request is computed from when it was sent.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from marigold.core.schema.generated.deployment import EngineModel
from marigold.entry.relay.estimates import get_prefill_time
from marigold.entry.relay.requests import PlacementRequest


def get_tokens(req: PlacementRequest, engine: EngineModel) -> tuple[int, int]:
    """Return the prompt and output tokens, the usual ones if not stated."""
    prompt = req.prompt_tokens or engine.usual_prompt
    return prompt, req.answer_tokens or engine.usual_answer


class _Stream:
    """Work that is left of a request: seconds of reading, then tokens to generate."""

    __slots__ = ("answer_left", "end", "read_left", "tokens")

    def __init__(self, req: PlacementRequest, engine: EngineModel) -> None:
        prompt, answer = get_tokens(req, engine)
        self.tokens = prompt + answer
        self.read_left = get_prefill_time(engine, prompt)
        self.answer_left = float(answer)
        self.end = math.inf if req.end_deadline is None else req.end_deadline


class EngineWork:
    """Estimated work of the requests that this process placed at an engine."""

    __slots__ = ("_streams", "_updated_at")

    def __init__(self, now: float) -> None:
        self._streams: dict[PlacementRequest, _Stream] = {}
        self._updated_at = now

    def update(
        self,
        in_flight: Mapping[PlacementRequest, float],
        engine: EngineModel,
        others: float,
        slowdown: float,
        now: float,
    ) -> None:
        """Let the work progress until `now`, and take over what the engine holds.

        `others` is the number of requests of other processes there.
        """
        self._advance(engine, others, slowdown, now)
        if in_flight.keys() == self._streams.keys():
            return
        for req in [item for item in self._streams if item not in in_flight]:
            del self._streams[req]
        for req in in_flight:
            if req not in self._streams:
                self._streams[req] = _Stream(req, engine)

    def _advance(
        self, engine: EngineModel, others: float, slowdown: float, now: float
    ) -> None:
        left = (now - self._updated_at) / slowdown
        self._updated_at = now
        if not self._streams or left <= 0:
            return
        interval = self.get_interval(engine, others)
        for stream in self._streams.values():
            spent = min(stream.read_left, left)
            stream.read_left -= spent
            left -= spent
        for req, stream in self._streams.items():
            if req.is_started:
                # Without a cost model, tokens take no time.
                done = left / interval if interval > 0 else math.inf
                stream.answer_left = max(stream.answer_left - done, 1.0)

    def get_interval(self, engine: EngineModel, others: float, added: int = 0) -> float:
        """Return the seconds between two tokens of a stream.

        Requests of other processes have the usual size, and are followed by as many.
        """
        count = min(len(self._streams) + others + added, engine.slots)
        held = self.count_tokens() + (others + added) * (
            engine.usual_prompt + engine.usual_answer / 2
        )
        step = (
            engine.step
            + engine.step_per_request * count
            + engine.step_per_context_token * held
        )
        read = get_prefill_time(engine, engine.usual_prompt)
        return step + min(others, engine.slots) * read / max(engine.usual_answer, 1)

    def count_tokens(self) -> int:
        """Return the tokens that the requests hold at their end."""
        return sum(stream.tokens for stream in self._streams.values())

    def get_read_backlog(self) -> float:
        """Return the seconds of reading prompts before the engine."""
        return sum(stream.read_left for stream in self._streams.values())

    def get_room(self, interval: float, slowdown: float, now: float) -> float:
        """Return the seconds of reading that every stream can still spare."""
        left = min(
            (
                stream.end - now - stream.answer_left * interval * slowdown
                for stream in self._streams.values()
            ),
            default=math.inf,
        )
        return left / slowdown - self.get_read_backlog()
