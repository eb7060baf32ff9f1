"""Orders to engines to load what their declaration lists, from one home only.

The object ``orders/{replica}`` on the platform holds a lease: the home that
may send orders, and its fencing number. Engines that obey fencing refuse orders
with a smaller number. For engines that ignore it, a new home waits until the
previous lease has expired on its own clock, and a home sends no order that
might outlast its lease.
"""

import dataclasses
import time
from collections.abc import Callable

import pydantic
from returns.result import Failure as Failed
from returns.result import Success

from masticdale_common import ErrorKind, Metrics, hashing, logs
from masticdale_config import RenderedEngine
from masticdale_platform import MUST_NOT_EXIST, ObjectStore
from masticdale_upstreams import ModelEngine, Order, OrderKind

LEASE_S = 15.0
# Added to another home's lease: the clocks of two hosts may drift, and an order
# sent at the end of the lease may still be in progress.
_EXPIRY_MARGIN_S = 6.0
_MAX_ORDER_S = 5.0
_PREFIX = "orders/"


class OrderRecord(pydantic.BaseModel):
    """The stored lease on the orders of a replica.

    Attributes:
        number: Fencing number; increases with each acquisition.
        holder: Process that holds the lease.
        lease_s: Seconds after this write in which it may send orders.
        released: Whether the holder has released the lease.
        done_digest: Digest of the orders that were last applied.
        done_incarnation: Engine process that applied them.
    """

    number: int = 0
    holder: str = ""
    lease_s: float = LEASE_S
    released: bool = True
    done_digest: str = ""
    done_incarnation: str = ""


@dataclasses.dataclass(slots=True)
class _ObservedRecord:
    """When this host first read a version of a record, on its own clock."""

    version: int
    first_seen_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class _HeldLease:
    """A lease that this process holds."""

    record: OrderRecord
    version: int
    expires_at: float


class OrderDispatcher:
    """Sends each replica the orders of its declaration."""

    def __init__(
        self,
        store: ObjectStore,
        holder: str,
        metrics: Metrics,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._store = store
        self._holder = holder
        self._metrics = metrics
        self._clock = clock
        self._observed_by_replica: dict[str, _ObservedRecord] = {}
        self._applied_by_replica: dict[str, str] = {}

    async def reconcile(
        self, engine: RenderedEngine, client: ModelEngine, incarnation: str
    ) -> None:
        """Sends the declared orders unless they are applied already.

        Args:
            engine: The replica's declaration.
            client: Client of the replica's engine.
            incarnation: The current engine process. A restarted engine has lost
                what it loaded.
        """
        if not engine.orders:
            return
        desired_digest = _digest(engine)
        applied = f"{desired_digest}/{incarnation}"
        if self._applied_by_replica.get(engine.name) == applied:
            return
        lease = await self._acquire_lease(engine, desired_digest, incarnation)
        if lease is None:
            return
        if await self._send_orders(engine, client, lease):
            await self._release_lease(
                engine, lease, desired_digest, incarnation
            )
            self._applied_by_replica[engine.name] = applied

    async def _acquire_lease(
        self, engine: RenderedEngine, desired_digest: str, incarnation: str
    ) -> _HeldLease | None:
        key = _PREFIX + engine.name
        read = await self._store.read(key)
        if isinstance(read, Failed):
            return None
        stored = read.unwrap()
        version = stored.version if stored else MUST_NOT_EXIST
        record = (
            OrderRecord.model_validate_json(stored.value)
            if stored
            else OrderRecord()
        )
        is_applied = (record.done_digest, record.done_incarnation) == (
            desired_digest,
            incarnation,
        )
        if is_applied and record.released:
            self._applied_by_replica[engine.name] = (
                f"{desired_digest}/{incarnation}"
            )
            return None
        if not self._may_acquire(engine, record, version):
            return None
        acquired = record.model_copy(
            update={
                "number": record.number + 1,
                "holder": self._holder,
                "lease_s": LEASE_S,
                "released": False,
            }
        )
        # Counted from before the write. Other hosts count from their first read
        # of it, which is later, so the holder's lease expires first.
        expires_at = self._clock() + LEASE_S
        written = await self._store.write(
            key, acquired.model_dump_json().encode(), version
        )
        if isinstance(written, Failed):
            return None
        return _HeldLease(acquired, written.unwrap(), expires_at)

    def _may_acquire(
        self, engine: RenderedEngine, record: OrderRecord, version: int
    ) -> bool:
        is_free = record.released or record.holder == self._holder
        if is_free or engine.enforces_fencing:
            return True
        observed = self._observed_by_replica.get(engine.name)
        if observed is None or observed.version != version:
            observed = _ObservedRecord(version, self._clock())
            self._observed_by_replica[engine.name] = observed
        expires_at = observed.first_seen_at + record.lease_s + _EXPIRY_MARGIN_S
        return self._clock() >= expires_at

    async def _send_orders(
        self, engine: RenderedEngine, client: ModelEngine, lease: _HeldLease
    ) -> bool:
        for desired in engine.orders:
            if self._clock() + _MAX_ORDER_S > lease.expires_at:
                return False
            order = Order(
                OrderKind(desired.kind), desired.argument, lease.record.number
            )
            outcome = await client.order(order)
            if isinstance(outcome, Success):
                self._metrics.count("orders_total", replica=engine.name)
                continue
            kind = outcome.failure().kind
            logs.write("order_failed", replica=engine.name, kind=kind.value)
            if kind is ErrorKind.CONFLICT:
                self._metrics.count("orders_fenced_total", replica=engine.name)
            return False
        return True

    async def _release_lease(
        self,
        engine: RenderedEngine,
        lease: _HeldLease,
        desired_digest: str,
        incarnation: str,
    ) -> None:
        # If this write fails, the next home waits for the lease to expire and
        # sends the same orders again, which is harmless.
        record = lease.record.model_copy(
            update={
                "released": True,
                "done_digest": desired_digest,
                "done_incarnation": incarnation,
            }
        )
        await self._store.write(
            _PREFIX + engine.name,
            record.model_dump_json().encode(),
            lease.version,
        )


def _digest(engine: RenderedEngine) -> str:
    parts = [p for order in engine.orders for p in (order.kind, order.argument)]
    return hashing.digest(*parts)
