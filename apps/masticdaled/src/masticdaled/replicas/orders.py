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
_LAPSE_MARGIN_S = 6.0
_LONGEST_ORDER_S = 5.0
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
class _Seen:
    """A record as it was first seen here, on this host's clock."""

    version: int
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Held:
    """A lease that this process holds."""

    record: OrderRecord
    version: int
    until: float


class OrderGiver:
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
        self._seen_by_replica: dict[str, _Seen] = {}
        self._done_by_replica: dict[str, str] = {}

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
        wanted = _digest(engine)
        mark = f"{wanted}/{incarnation}"
        if self._done_by_replica.get(engine.name) == mark:
            return
        held = await self._acquire(engine, wanted, incarnation)
        if held is None:
            return
        if await self._give(engine, client, held):
            await self._finish(engine, held, wanted, incarnation)
            self._done_by_replica[engine.name] = mark

    async def _acquire(
        self, engine: RenderedEngine, wanted: str, incarnation: str
    ) -> _Held | None:
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
        is_done = (record.done_digest, record.done_incarnation) == (
            wanted,
            incarnation,
        )
        if is_done and record.released:
            self._done_by_replica[engine.name] = f"{wanted}/{incarnation}"
            return None
        if not self._may_take(engine, record, version):
            return None
        taken = record.model_copy(
            update={
                "number": record.number + 1,
                "holder": self._holder,
                "lease_s": LEASE_S,
                "released": False,
            }
        )
        # Counted from before the write: the others count from when they see
        # it, which is later, so this lease always ends first.
        until = self._clock() + LEASE_S
        written = await self._store.write(
            key, taken.model_dump_json().encode(), version
        )
        if isinstance(written, Failed):
            return None
        return _Held(taken, written.unwrap(), until)

    def _may_take(
        self, engine: RenderedEngine, record: OrderRecord, version: int
    ) -> bool:
        is_free = record.released or record.holder == self._holder
        if is_free or engine.enforces_fencing:
            return True
        seen = self._seen_by_replica.get(engine.name)
        if seen is None or seen.version != version:
            seen = _Seen(version, self._clock())
            self._seen_by_replica[engine.name] = seen
        lapses_at = seen.at + record.lease_s + _LAPSE_MARGIN_S
        return self._clock() >= lapses_at

    async def _give(
        self, engine: RenderedEngine, client: ModelEngine, held: _Held
    ) -> bool:
        for wanted in engine.orders:
            if self._clock() + _LONGEST_ORDER_S > held.until:
                return False
            order = Order(
                OrderKind(wanted.kind), wanted.argument, held.record.number
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

    async def _finish(
        self,
        engine: RenderedEngine,
        held: _Held,
        wanted: str,
        incarnation: str,
    ) -> None:
        # Where this write fails, the next home waits for the lease and gives
        # the same orders again, which loads nothing new.
        record = held.record.model_copy(
            update={
                "released": True,
                "done_digest": wanted,
                "done_incarnation": incarnation,
            }
        )
        await self._store.write(
            _PREFIX + engine.name,
            record.model_dump_json().encode(),
            held.version,
        )


def _digest(engine: RenderedEngine) -> str:
    parts = [p for order in engine.orders for p in (order.kind, order.argument)]
    return hashing.digest(*parts)
