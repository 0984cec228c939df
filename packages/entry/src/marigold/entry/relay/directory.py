"""Directory of the runners that this process may send requests to."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence

from marigold.core.connections import split_address
from marigold.core.logging import get_logger
from marigold.core.platform.feeds import FeedFollower
from marigold.core.schema.generated.deployment import Runner
from marigold.entry.eligibility.rules import EligibilityRules
from marigold.entry.relay.views import RunnerView

log = get_logger(__name__)

# Seconds for which a runner whose list entry lapsed while the store was unavailable
# stays usable; live runners are listed again within about two.
LAPSED_GRACE_S = 1.8


class RunnerDirectory:
    """Views of the listed runners by service, as of the last `sync`.

    `regions` maps data centres to regions. `covers` returns whether the runners of a
    data centre are included. `rules` close whole data centres for a time.
    """

    def __init__(
        self,
        follower: FeedFollower[Runner],
        regions: Mapping[str, str],
        monotonic: Callable[[], float],
        boottime: Callable[[], float],
        covers: Callable[[str], bool] = lambda data_centre: True,
        rules: EligibilityRules | None = None,
    ) -> None:
        self._rules = rules or EligibilityRules()
        self._follower = follower
        self._regions = regions
        self._covers = covers
        self._monotonic = monotonic
        self._boottime = boottime
        self._views: dict[str, RunnerView] = {}
        self._by_service: dict[str, list[RunnerView]] = {}
        self._engines: dict[str, list[RunnerView]] = {}
        self._replaced: set[str] = set()
        self._has_list = False
        # Called with the view of a runner that appeared or changed, and whether it
        # appeared after the first list.
        self.on_listed: Callable[[RunnerView, bool], None] = lambda view, is_new: None
        # Called with the view of an incarnation that a later one replaced.
        self.on_restart: Callable[[RunnerView], None] = lambda view: None

    def sync(self) -> None:
        """Update the views from the list that the follower holds."""
        items = self._follower.items
        for runner in items.values():
            if self._covers(runner.data_centre):
                self._update(runner)
        for id, view in list(self._views.items()):
            if id not in items or not self._covers(items[id].data_centre):
                self._mark_missing(view)
        self._has_list = self._has_list or bool(items)
        self._rebuild_index()

    def _update(self, runner: Runner) -> None:
        view = self._views.get(runner.id)
        if view is not None and view.runner.started_ms == runner.started_ms:
            if runner.is_draining and not view.runner.is_draining:
                log.event("runner_draining", runner=runner.id, service=runner.service)
            # A restored store may list it as ready again.
            view.is_leaving |= view.runner.is_draining
            is_changed = view.runner.cold_remaining != runner.cold_remaining
            view.runner = runner
            view.delisted_at = None
            if is_changed:
                self.on_listed(view, False)
            return
        if view is not None:
            self.on_restart(view)
        region = self._regions.get(runner.data_centre, "")
        view = self._views[runner.id] = RunnerView(runner, region)
        self.on_listed(view, self._has_list)
        log.routine(
            "runner_listed",
            runner=runner.id,
            service=runner.service,
            address=runner.address,
            data_centre=runner.data_centre,
            draining=runner.is_draining,
        )

    def announce_cold(self) -> None:
        """Call `on_listed` again for cold runners that were listed without effect.

        The list may come before the configuration that says what a cold runner takes.
        """
        for view in self._views.values():
            if view.rate is None and view.runner.cold_remaining > 0:
                self.on_listed(view, False)

    def _mark_missing(self, view: RunnerView) -> None:
        if view.delisted_at is not None:
            return
        recovered_at = self._follower.recovered_at
        grace = 0.0
        if recovered_at is not None and not view.runner.is_draining:
            grace = max(recovered_at + LAPSED_GRACE_S - self._boottime(), 0.0)
        view.delisted_at = self._monotonic() + grace
        log.event("runner_missing", runner=view.id, usable_for=grace)

    def _rebuild_index(self) -> None:
        now = self._monotonic()
        by_service: dict[str, list[RunnerView]] = defaultdict(list)
        engines: dict[str, list[RunnerView]] = defaultdict(list)
        self._update_replaced()
        for id, view in list(self._views.items()):
            if (
                view.delisted_at is not None
                and now >= view.delisted_at
                and not view.in_flight
            ):
                del self._views[id]
                continue
            if not view.runner.is_draining and id not in self._replaced:
                by_service[view.runner.service].append(view)
            if view.runner.is_engine:
                host, _ = split_address(view.runner.address)
                engines[host].append(view)
        self._by_service = by_service
        self._engines = engines

    def _update_replaced(self) -> None:
        """Find the runners whose address belongs to a newer runner.

        A runner that crashed stays listed for some heartbeats beside its successor.
        """
        listed = [
            view.runner for view in self._views.values() if view.delisted_at is None
        ]
        newest: dict[str, Runner] = {}
        for runner in listed:
            other = newest.setdefault(runner.address, runner)
            if runner.started_ms > other.started_ms:
                newest[runner.address] = runner
        replaced = set()
        for runner in listed:
            successor = newest[runner.address]
            if runner.started_ms < successor.started_ms:
                replaced.add(runner.id)
                if runner.id not in self._replaced:
                    log.event("runner_replaced", runner=runner.id, by=successor.id)
                    self.on_restart(self._views[runner.id])
        self._replaced = replaced

    def get_listed(self, service: str) -> Sequence[RunnerView]:
        """Return the runners of a service that are not draining, replaced or closed.

        `RunnerView.is_open` says whether one accepts requests now.
        """
        return self._rules.select_open(self._by_service.get(service, ()))

    def get_known(self, service: str) -> Sequence[RunnerView]:
        """Return the runners of a service that are not draining or replaced."""
        return self._by_service.get(service, ())

    def find(self, id: str) -> RunnerView | None:
        """Return the view of a runner, or None."""
        return self._views.get(id)

    def get_engines(self) -> list[RunnerView]:
        """Return the model engines of all hosts."""
        return [view for views in self._engines.values() for view in views]

    def get_engines_at(self, host: str) -> Sequence[RunnerView]:
        """Return the model engines on a host."""
        return self._engines.get(host, ())
