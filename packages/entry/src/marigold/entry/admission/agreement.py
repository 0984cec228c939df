"""Agreement of the entries on whose units are whose.

The units of a limit, such as the slots of a customer, have a home among the
entries of the host list. Entries see the list change at different times, so an
entry uses a unit that a change brought to it only after every entry of the new
view has said that it holds the same view and has let go of what is not its own;
each of these statements answers an epoch of the entry itself, so that no old
statement counts. A unit whose home stays the same is used throughout.

An entry that the list no longer names has let go when it has said so, or when
everything it may have started has run out.

An entry that starts while others cannot be reached would wait for them without
end. After `provisional_s` seconds it uses the units whose home it is in the view
that it has. The limit may be passed then, by units that others still use under
an earlier view or that an earlier incarnation of this entry lent.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Sequence

View = tuple[str, ...]

DIGEST_BYTES = 8


def compute_view_digest(view: View) -> str:
    """Return a short digest of a view."""
    text = "\0".join(view).encode()
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).hexdigest()


def compute_homes(resource: str, total: int, view: View) -> list[str]:
    """Return the home of each unit of a resource by rendezvous hashing."""
    prefix = hashlib.blake2b(resource.encode(), digest_size=DIGEST_BYTES)
    homes = []
    for unit in range(total):
        best = b""
        home = ""
        for name in view:
            score = prefix.copy()
            score.update(f"\0{unit}\0{name}".encode())
            digest = score.digest()
            if digest > best:
                best, home = digest, name
        homes.append(home)
    return homes


class _Statement:
    """What a peer said last."""

    __slots__ = ("acknowledged", "epoch", "incarnation", "is_left", "settled", "view")

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.epoch = 0
        self.view = ""
        self.settled = False
        self.acknowledged = (0, 0)
        self.is_left = False


class Agreement:
    """One entry's view of the entries and what they said about theirs.

    `views` holds the view that was agreed on last and all that came after it;
    it is empty until a first view has been agreed on. Times are in seconds.
    """

    def __init__(
        self,
        me: str,
        incarnation: int,
        hold_s: float,
        provisional_s: float = math.inf,
    ) -> None:
        self.me = me
        self.incarnation = incarnation
        self.epoch = 0
        self.view: View = ()
        self.digest = ""
        self.views: list[View] = []
        self.version = 0
        self._hold_s = hold_s
        self._provisional_s = provisional_s
        self._view_since = 0.0
        self._is_known = False
        self._statements: dict[str, _Statement] = {}
        self._removed: dict[str, float] = {}

    def set_members(self, names: Iterable[str], now: float) -> None:
        """Take in the entries of the host list."""
        view = tuple(sorted(set(names)))
        if view == self.view:
            return
        for name in set(self.view) - set(view) - {self.me}:
            if not self._has_left(name):
                self._removed[name] = now + self._hold_s
        for name in view:
            self._removed.pop(name, None)
        self.view = view
        self._view_since = now
        self.digest = compute_view_digest(view)
        self.epoch += 1
        self.version += 1
        if self.views and view not in self.views:
            self.views.append(view)

    def _has_left(self, name: str) -> bool:
        statement = self._statements.get(name)
        return statement is not None and statement.is_left

    def get_peers(self) -> Sequence[str]:
        """Return the other entries of the view."""
        return [name for name in self.view if name != self.me]

    def get_seen(self, name: str) -> tuple[int, int]:
        """Return the incarnation and epoch of a peer that were seen last."""
        statement = self._statements.get(name)
        return (statement.incarnation, statement.epoch) if statement else (0, 0)

    def is_known(self) -> bool:
        """Return whether all peers know this incarnation.

        They say so once nothing runs any more on units that an earlier
        incarnation of this entry lent them.
        """
        if not self._is_known and self.me in self.view:
            self._is_known = all(self._knows_me(name) for name in self.get_peers())
        return self._is_known

    def _knows_me(self, name: str) -> bool:
        statement = self._statements.get(name)
        if statement is None:
            return False
        return statement.is_left or statement.acknowledged[0] == self.incarnation

    def is_waiting_for_removed(self, now: float) -> bool:
        """Return whether an entry that was removed may still use its units."""
        for name in [name for name, until in self._removed.items() if until <= now]:
            del self._removed[name]
        return bool(self._removed)

    def take_statement(
        self,
        name: str,
        incarnation: int,
        epoch: int,
        view: str,
        settled: bool,
        acknowledged: tuple[int, int],
        is_left: bool = False,
    ) -> None:
        """Take in what a peer says."""
        statement = self._statements.get(name)
        if statement is None or statement.incarnation < incarnation:
            statement = self._statements[name] = _Statement(incarnation)
        if statement.incarnation > incarnation:
            return
        statement.epoch = epoch
        statement.view = view
        statement.settled = settled
        statement.acknowledged = acknowledged
        statement.is_left = is_left
        if is_left:
            self._removed.pop(name, None)

    def step(self, now: float) -> bool:
        """Agree on the current view when all peers do; return whether it changed."""
        if self.views == [self.view] or self.me not in self.view:
            return False
        if self.is_waiting_for_removed(now):
            return False
        if not self._is_agreed() and not self._is_provisional(now):
            return False
        self.views = [self.view]
        self.version += 1
        return True

    def _is_agreed(self) -> bool:
        return all(self._agrees(name) for name in self.get_peers())

    def _is_provisional(self, now: float) -> bool:
        return not self.views and now >= self._view_since + self._provisional_s

    def _agrees(self, name: str) -> bool:
        statement = self._statements.get(name)
        if statement is None:
            return False
        return statement.is_left or (
            statement.view == self.digest
            and statement.settled
            and statement.acknowledged == (self.incarnation, self.epoch)
        )
