"""Tracking of the orders that were sent to targets and of their progress."""

from __future__ import annotations

from marigold.core.schema.generated.messages import LoadOrder, OrderProgress

RETRY_S = 1.0
RETRY_MAXIMUM_S = 60.0
RESEND_S = 5.0

FAILED_STATES = ("failed", "refused", "cancelled")


class OrderRecord:
    """State of the last order of one operation for one version at one target."""

    __slots__ = ("chunks", "detail", "failures", "key", "order", "retry_at", "state")

    def __init__(self, order: str) -> None:
        self.order = order
        self.key: tuple[object, ...] = ()
        self.state = "new"
        self.chunks = 0
        self.detail = ""
        self.failures = 0
        self.retry_at = 0.0


class OrderTracker:
    """Holds the records of orders by target, operation and version."""

    __slots__ = ("_by_order", "_records")

    def __init__(self) -> None:
        self._records: dict[tuple[str, str, str], OrderRecord] = {}
        self._by_order: dict[tuple[str, str], OrderRecord] = {}

    def get(self, host: str, operation: str, version: str) -> OrderRecord:
        """Return the record of an order; create it when there is none."""
        key = (host, operation, version)
        if key not in self._records:
            record = OrderRecord(f"{operation}-{version}")
            self._records[key] = record
            self._by_order[host, record.order] = record
        return self._records[key]

    def find(self, host: str, operation: str, version: str) -> OrderRecord | None:
        """Return the record of an order, None when there is none."""
        return self._records.get((host, operation, version))

    def is_due(self, record: OrderRecord, key: tuple[object, ...], now: float) -> bool:
        """Return whether to send an order.

        A new or changed order is due at once, a failed or unanswered one when its
        delay has passed.
        """
        return record.key != key or now >= record.retry_at

    def record_sent(
        self, record: OrderRecord, key: tuple[object, ...], now: float
    ) -> None:
        """Record that an order was sent."""
        record.key = key
        record.retry_at = now + RESEND_S
        if record.state in FAILED_STATES:
            record.state = "new"

    def record_progress(
        self, host: str, progress: OrderProgress, now: float
    ) -> OrderRecord | None:
        """Record the progress of an order; return its record if the state changed."""
        record = self._by_order.get((host, progress.order))
        if record is None:
            return None
        is_changed = record.state != progress.state
        record.state = progress.state
        record.chunks = progress.chunks
        record.detail = progress.detail
        if progress.state in FAILED_STATES:
            record.failures += 1
            delay = min(RETRY_S * 2**record.failures, RETRY_MAXIMUM_S)
            record.retry_at = now + delay
        else:
            record.retry_at = now + RESEND_S
        return record if is_changed else None

    def remove_host(self, host: str) -> None:
        """Remove the records of a target."""
        self._records = {
            key: item for key, item in self._records.items() if key[0] != host
        }
        self._by_order = {
            key: item for key, item in self._by_order.items() if key[0] != host
        }


def make_key(order: LoadOrder, incarnation: int) -> tuple[object, ...]:
    """Return a comparison key: an order with an equal key need not be sent again."""
    return (
        order.fence,
        incarnation,
        order.operation,
        order.manifest,
        tuple(order.origin_chunks),
        tuple(order.sources),
        tuple((item, tuple(order.remote[item])) for item in sorted(order.remote)),
        tuple(order.wanted),
    )
