"""Attempts of one request at runners that fell silent and may go on."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from marigold.entry.relay.attempts import Attempt
from marigold.entry.relay.exceptions import ResumedError

T = TypeVar("T")


class StalledAttempts:
    """The suspended attempts of a request, in the order in which they fell silent.

    Any of them may only have paused, so none is closed before another one has begun to
    answer.
    """

    __slots__ = ("_attempts",)

    def __init__(self) -> None:
        self._attempts: list[Attempt] = []

    def __bool__(self) -> bool:
        return bool(self._attempts)

    def add(self, attempt: Attempt) -> None:
        """Suspend an attempt whose runner fell silent."""
        attempt.suspend()
        self._attempts.append(attempt)

    def close(self) -> None:
        """Close all attempts, so that their runners stop working on the request."""
        while self._attempts:
            self._attempts.pop().close()

    def _find_resumed(self) -> Attempt | None:
        return next((item for item in self._attempts if item.has_progress), None)

    async def run_beside(
        self, call: Callable[[], Coroutine[Any, Any, T]], may_cancel: Callable[[], bool]
    ) -> T:
        """Run a call at another runner while these attempts are suspended.

        Raise `ResumedError` if a runner goes on before that, unless `may_cancel`
        returns False then.
        """
        resumed = self._find_resumed()
        if resumed is not None:
            raise ResumedError(f"{resumed.view.id}: went on")
        task = asyncio.create_task(call())
        waiting: set[asyncio.Future[Any]] = {task}
        waiting.update(item.watch for item in self._attempts if item.watch)
        try:
            while not task.done():
                done, _ = await asyncio.wait(
                    waiting, return_when=asyncio.FIRST_COMPLETED
                )
                resumed = self._find_resumed()
                if not task.done() and resumed is not None and may_cancel():
                    raise ResumedError(f"{resumed.view.id}: went on")
                waiting -= done
            return await task
        finally:
            if task.cancel():
                await asyncio.gather(task, return_exceptions=True)

    async def take_first(self) -> Attempt:
        """Wait until an attempt goes on, or only one is left; remove and return it."""
        attempts = self._attempts
        pending = {item.watch for item in attempts if item.watch}
        while len(attempts) > 1 and pending and self._find_resumed() is None:
            _, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
        sound = (item for item in attempts if not item.has_failed)
        attempt = self._find_resumed() or next(sound, attempts[0])
        attempts.remove(attempt)
        return attempt
