"""Agreement among the entries on the home of each unit of a limit.

Each unit of a limit, such as the slots of a customer, has a home among the entries
of the host list. Entries see changes of the list at different times. An entry
therefore uses a unit that a change assigned to it only after every entry of the new
view has stated that it has the same view and has released the units that are not
its own. Each of these statements acknowledges the current epoch of the entry, so
that stale statements do not count. A unit that keeps its home stays in use.

An entry that was removed from the list counts as having released its units once it
has stated that, or once every request that it may have started has expired.

An entry that starts while others are unreachable would wait for them forever. After
`provisional_s` seconds it uses the units whose home it is in its current view. The
limit may then be exceeded, by units that others still use under an earlier view or
that an earlier incarnation of this entry lent.
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


class _PeerStatement:
    """Last statement of a peer."""

    __slots__ = ("acknowledged", "epoch", "incarnation", "is_left", "settled", "view")

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.epoch = 0
        self.view = ""
        self.settled = False
        self.acknowledged = (0, 0)
        self.is_left = False


class Agreement:
    """View of one entry and the last statements of its peers.

    `views` holds the last view that was agreed on and all later ones; it is empty
    until a first view has been agreed on. A removed entry counts as having released
    its units after `removal_grace_s` seconds. Times are in seconds.
    """

    def __init__(
        self,
        process: str,
        incarnation: int,
        removal_grace_s: float,
        provisional_s: float = math.inf,
    ) -> None:
        self.process = process
        self.incarnation = incarnation
        self.epoch = 0
        self.view: View = ()
        self.digest = ""
        self.views: list[View] = []
        self.version = 0
        self._removal_grace_s = removal_grace_s
        self._provisional_s = provisional_s
        self._view_since = 0.0
        self._is_acknowledged = False
        self._statements: dict[str, _PeerStatement] = {}
        self._removed: dict[str, float] = {}

    def set_members(self, names: Iterable[str], now: float) -> None:
        """Update the view to the entries of the host list."""
        view = tuple(sorted(set(names)))
        if view == self.view:
            return
        for name in set(self.view) - set(view) - {self.process}:
            if not self._has_left(name):
                self._removed[name] = now + self._removal_grace_s
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
        return [name for name in self.view if name != self.process]

    def get_last_epoch(self, name: str) -> tuple[int, int]:
        """Return the incarnation and epoch in a peer's last statement."""
        statement = self._statements.get(name)
        return (statement.incarnation, statement.epoch) if statement else (0, 0)

    def is_acknowledged(self) -> bool:
        """Return whether all peers have acknowledged this incarnation.

        A peer does so once none of its requests runs any more on units that an earlier
        incarnation of this entry lent it.
        """
        if not self._is_acknowledged and self.process in self.view:
            self._is_acknowledged = all(
                self._acknowledges_incarnation(name) for name in self.get_peers()
            )
        return self._is_acknowledged

    def _acknowledges_incarnation(self, name: str) -> bool:
        statement = self._statements.get(name)
        if statement is None:
            return False
        return statement.is_left or statement.acknowledged[0] == self.incarnation

    def is_waiting_for_removed(self, now: float) -> bool:
        """Return whether a removed entry may still use its units."""
        for name in [name for name, until in self._removed.items() if until <= now]:
            del self._removed[name]
        return bool(self._removed)

    def record_statement(
        self,
        name: str,
        incarnation: int,
        epoch: int,
        view: str,
        settled: bool,
        acknowledged: tuple[int, int],
        is_left: bool = False,
    ) -> None:
        """Record a statement of a peer, unless it is of an earlier incarnation."""
        statement = self._statements.get(name)
        if statement is None or statement.incarnation < incarnation:
            statement = self._statements[name] = _PeerStatement(incarnation)
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
        """Agree on the current view once all peers do; return whether it changed."""
        if self.views == [self.view] or self.process not in self.view:
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
