"""The revision in force on this host."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable, Iterable

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import Failure, JsonValue, logs
from masticdale_config import snapshots
from masticdale_config import state as states
from masticdale_config.rendered import RenderedConfig

BACKLOG_REVISIONS = 256

Subscriber = Callable[[RenderedConfig], None]


@dataclasses.dataclass(frozen=True, slots=True)
class RevisionsExport:
    """What one host hands to another that lags.

    Attributes:
        newest: Number of the revision in force here.
        revisions: The stored bytes of the revisions after the one asked for,
            in order; empty where a snapshot is needed instead.
        snapshot: The whole state as bytes; empty where revisions suffice.
    """

    newest: int
    revisions: tuple[bytes, ...]
    snapshot: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class _Step:
    stored: bytes
    state: states.ConfigState


@dataclasses.dataclass(frozen=True, slots=True)
class _Progress:
    steps: tuple[_Step, ...]
    failure: Failure | None


class ActiveConfig:
    """Follows revisions in order and never goes back.

    A reader takes ``current`` once and uses that object for the whole
    request; it never changes.
    """

    def __init__(self) -> None:
        self._state = states.EMPTY_STATE
        self._backlog: collections.deque[bytes] = collections.deque(
            maxlen=BACKLOG_REVISIONS
        )
        self._subscribers: list[Subscriber] = []
        self._snapshot = b""
        self._lock = asyncio.Lock()

    @property
    def state(self) -> states.ConfigState:
        """The declarations and recent changes, for operators' requests."""
        return self._state

    @property
    def current(self) -> RenderedConfig:
        """The configuration in force; immutable."""
        return self._state.rendered

    @property
    def number(self) -> int:
        """Number of the revision in force; 0 before the first."""
        return self._state.number

    def subscribe(self, subscriber: Subscriber) -> None:
        """Calls a function with each configuration that comes into force.

        Args:
            subscriber: Must not block; an exception is logged.
        """
        self._subscribers.append(subscriber)

    def apply_revisions(
        self, revisions: Iterable[bytes]
    ) -> Result[int, Failure]:
        """Brings revisions into force, in order and without a gap.

        Revisions already in force are passed over, so a stale read or a peer
        that lags never takes this host back.

        Args:
            revisions: Stored bytes, in ascending order.

        Returns:
            The number in force; OUT_OF_ORDER at a gap and INTERNAL at a
            revision that cannot be read, with those before it in force.
        """
        return self._apply_progress(_render_revisions(self._state, revisions))

    async def apply_revisions_in_thread(
        self, revisions: Iterable[bytes]
    ) -> Result[int, Failure]:
        """Does what ``apply_revisions`` does, off the event loop.

        A template that thousands of workspaces share takes over a second to
        render. On the loop that would hold up every stream and heartbeat of
        this host, and its peers would think it dead.
        """
        async with self._lock:
            progress = await asyncio.to_thread(
                _render_revisions, self._state, tuple(revisions)
            )
            return self._apply_progress(progress)

    def apply_snapshot(self, snapshot: bytes) -> Result[int, Failure]:
        """Brings a whole state into force if it is newer.

        Args:
            snapshot: Bytes of ``RevisionsExport`` or the platform.

        Returns:
            The number in force, or INTERNAL where the digest does not come
            out; then nothing has changed.
        """
        return self._apply_decoded_snapshot(snapshots.decode(snapshot))

    async def apply_snapshot_in_thread(
        self, snapshot: bytes
    ) -> Result[int, Failure]:
        """Does what ``apply_snapshot`` does, off the event loop."""
        async with self._lock:
            decoded = await asyncio.to_thread(snapshots.decode, snapshot)
            return self._apply_decoded_snapshot(decoded)

    async def apply_export_in_thread(
        self, export: RevisionsExport
    ) -> Result[int, Failure]:
        """Does what ``apply_export`` does, off the event loop."""
        if export.snapshot:
            outcome = await self.apply_snapshot_in_thread(export.snapshot)
            if isinstance(outcome, Failed):
                return outcome
        return await self.apply_revisions_in_thread(export.revisions)

    def apply_export(self, export: RevisionsExport) -> Result[int, Failure]:
        """Brings what a peer handed over into force."""
        if export.snapshot:
            outcome = self.apply_snapshot(export.snapshot)
            if isinstance(outcome, Failed):
                return outcome
        return self.apply_revisions(export.revisions)

    def export_after(self, number: int) -> RevisionsExport:
        """Returns what a peer at a lower revision needs.

        Args:
            number: The revision in force at the peer.
        """
        export = self._export_backlog(number)
        if export is not None:
            return export
        if not self._snapshot:
            self._snapshot = snapshots.encode(self._state)
        return RevisionsExport(self.number, (), self._snapshot)

    async def export_after_in_thread(self, number: int) -> RevisionsExport:
        """Does what ``export_after`` does, encoding off the event loop."""
        state = self._state
        if self._export_backlog(number) is None and not self._snapshot:
            encoded = await asyncio.to_thread(snapshots.encode, state)
            if self._state is not state:
                return RevisionsExport(state.number, (), encoded)
            self._snapshot = encoded
        return self.export_after(number)

    def dump(self) -> JsonValue:
        """Returns what a state dump shows."""
        return {
            "revision": self.number,
            "digest": self.current.digest,
            "workspaces": len(self.current.workspace_by_name),
            "upstreams": len(self.current.upstreams.by_name),
            "kept_revisions": len(self._backlog),
        }

    def _export_backlog(self, number: int) -> RevisionsExport | None:
        missing = self.number - number
        if missing <= 0:
            return RevisionsExport(self.number, (), b"")
        if missing > len(self._backlog):
            return None
        return RevisionsExport(
            self.number, tuple(self._backlog)[-missing:], b""
        )

    def _apply_progress(self, progress: _Progress) -> Result[int, Failure]:
        before = self.number
        for step in progress.steps:
            # Another way may have brought it while this one was rendered.
            if step.state.number <= self.number:
                continue
            self._backlog.append(step.stored)
            self._set_state(step.state)
        if self.number > before:
            self._notify()
        if progress.failure is not None:
            return Failed(progress.failure)
        return Success(self.number)

    def _apply_decoded_snapshot(
        self, decoded: Result[states.ConfigState, Failure]
    ) -> Result[int, Failure]:
        if isinstance(decoded, Failed):
            return decoded
        state = decoded.unwrap()
        if state.number > self.number:
            self._backlog.clear()
            self._set_state(state)
            self._notify()
        return Success(self.number)

    def _set_state(self, state: states.ConfigState) -> None:
        self._snapshot = b""
        self._state = state

    def _notify(self) -> None:
        for subscriber in list(self._subscribers):
            try:
                subscriber(self.current)
            except Exception as error:
                logs.write("config_subscriber_failed", error=repr(error))


def _render_revisions(
    state: states.ConfigState, revisions: Iterable[bytes]
) -> _Progress:
    # Runs on a thread too, so it touches immutable values only.
    steps: list[_Step] = []
    for stored in revisions:
        decoded = states.decode_revision(stored)
        if isinstance(decoded, Failed):
            return _Progress(tuple(steps), decoded.failure())
        revision = decoded.unwrap()
        if revision.number <= state.number:
            continue
        followed = states.apply_revision(state, revision)
        if isinstance(followed, Failed):
            return _Progress(tuple(steps), followed.failure())
        state = followed.unwrap()
        steps.append(_Step(stored, state))
    return _Progress(tuple(steps), None)
