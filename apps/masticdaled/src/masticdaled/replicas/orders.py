"""Orders to engines: what a declaration wants loaded, given by one home only.

``orders/{replica}`` on the platform names the home that may give orders and
its fencing number. Engines that obey refuse a smaller number. To engines that
ignore it, a new home gives orders only after the earlier home's lease has
lapsed on its own clock, and a home stops in time before its lease does.
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
# Clocks of two hosts may run at slightly different speeds, and an order that
# was sent at the lease's end may take as long as a call to be obeyed.
_EXPIRY_MARGIN_S = 6.0
_MAX_ORDER_S = 5.0
_PREFIX = "orders/"


class OrderRecord(pydantic.BaseModel):
    """The object that names who gives orders to a replica.

    Attributes:
        number: Fencing number; grows with each holder.
        holder: Process that holds the lease.
        lease_s: How long it may give orders after it wrote this.
        released: True once it has finished.
        done_digest: Digest of the orders last obeyed.
        done_incarnation: Engine process that obeyed them.
    """

    number: int = 0
    holder: str = ""
    lease_s: float = LEASE_S
    released: bool = True
    done_digest: str = ""
    done_incarnation: str = ""


@dataclasses.dataclass(slots=True)
class _ObservedRecord:
    """A record as it was first seen here, on this host's clock."""

    version: int
    first_seen_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class _HeldLease:
    """A lease that this process holds."""

    record: OrderRecord
    version: int
    expires_at: float


class OrderDispatcher:
    """Gives each replica the orders its declaration wants."""

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
        """Gives what is wanted and was not obeyed yet; idempotent.

        Args:
            engine: The replica's declaration.
            client: Talks to it.
            incarnation: Its process now; a restart forgets what it loaded.
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
        # Counted from before the write: the others count from when they see
        # it, which is later, so this lease always ends first.
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
        if is_free or engine.obeys_fencing:
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
        # Where this write fails, the next home waits for the lease and gives
        # the same orders again, which loads nothing new.
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
