"""The configuration that is active on this host."""

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
    """Revisions or a snapshot that bring a lagging peer up to date.

    Attributes:
        newest: Number of the active revision on the exporting host.
        revisions: Stored bytes of the revisions after the requested number,
            in ascending order; empty if a snapshot is sent instead.
        snapshot: The encoded state; empty if the revisions suffice.
    """

    newest: int
    revisions: tuple[bytes, ...]
    snapshot: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class _RenderedRevision:
    stored: bytes
    state: states.ConfigState


@dataclasses.dataclass(frozen=True, slots=True)
class _RenderResult:
    rendered_revisions: tuple[_RenderedRevision, ...]
    failure: Failure | None


class ActiveConfig:
    """Applies revisions in ascending order and never reverts to an older one.

    ``current`` is immutable. A request reads it once and uses the same object
    until it ends.
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
        """The declarations and recent changes."""
        return self._state

    @property
    def current(self) -> RenderedConfig:
        """The active configuration; immutable."""
        return self._state.rendered

    @property
    def number(self) -> int:
        """Number of the active revision; 0 before the first."""
        return self._state.number

    def subscribe(self, subscriber: Subscriber) -> None:
        """Registers a function to call with each newly active configuration.

        Args:
            subscriber: Must not block; its exceptions are logged.
        """
        self._subscribers.append(subscriber)

    def apply_revisions(
        self, revisions: Iterable[bytes]
    ) -> Result[int, Failure]:
        """Applies revisions in order and without a gap.

        Revisions that are already applied are skipped, so a stale read or a
        lagging peer never reverts this host.

        Args:
            revisions: Stored bytes, in ascending order.

        Returns:
            The number of the active revision; OUT_OF_ORDER at a gap and
            INTERNAL at a revision that cannot be read. The revisions before
            the failing one are applied.
        """
        return self._apply_rendered(_render_revisions(self._state, revisions))

    async def apply_revisions_in_thread(
        self, revisions: Iterable[bytes]
    ) -> Result[int, Failure]:
        """Applies revisions like ``apply_revisions``, rendering on a thread.

        Rendering a template that thousands of workspaces share on the event
        loop would delay every stream and heartbeat of this host, and its
        peers would declare it dead.
        """
        async with self._lock:
            result = await asyncio.to_thread(
                _render_revisions, self._state, tuple(revisions)
            )
            return self._apply_rendered(result)

    def apply_snapshot(self, snapshot: bytes) -> Result[int, Failure]:
        """Replaces the state by a snapshot if the snapshot is newer.

        Args:
            snapshot: Snapshot bytes from ``RevisionsExport`` or the platform.

        Returns:
            The number of the active revision, or INTERNAL if the digest does
            not match, in which case nothing changes.
        """
        return self._apply_decoded_snapshot(snapshots.decode(snapshot))

    async def apply_snapshot_in_thread(
        self, snapshot: bytes
    ) -> Result[int, Failure]:
        """Applies a snapshot like ``apply_snapshot``, decoding on a thread."""
        async with self._lock:
            decoded = await asyncio.to_thread(snapshots.decode, snapshot)
            return self._apply_decoded_snapshot(decoded)

    async def apply_export_in_thread(
        self, export: RevisionsExport
    ) -> Result[int, Failure]:
        """Applies an export like ``apply_export``, decoding on a thread."""
        if export.snapshot:
            outcome = await self.apply_snapshot_in_thread(export.snapshot)
            if isinstance(outcome, Failed):
                return outcome
        return await self.apply_revisions_in_thread(export.revisions)

    def apply_export(self, export: RevisionsExport) -> Result[int, Failure]:
        """Applies the snapshot and the revisions of a peer's export."""
        if export.snapshot:
            outcome = self.apply_snapshot(export.snapshot)
            if isinstance(outcome, Failed):
                return outcome
        return self.apply_revisions(export.revisions)

    def export_after(self, number: int) -> RevisionsExport:
        """Returns the export that brings a peer up to date.

        Args:
            number: Number of the peer's active revision.
        """
        export = self._export_backlog(number)
        if export is not None:
            return export
        if not self._snapshot:
            self._snapshot = snapshots.encode(self._state)
        return RevisionsExport(self.number, (), self._snapshot)

    async def export_after_in_thread(self, number: int) -> RevisionsExport:
        """Returns ``export_after``, with the snapshot encoded on a thread."""
        state = self._state
        if self._export_backlog(number) is None and not self._snapshot:
            encoded = await asyncio.to_thread(snapshots.encode, state)
            if self._state is not state:
                return RevisionsExport(state.number, (), encoded)
            self._snapshot = encoded
        return self.export_after(number)

    def dump(self) -> JsonValue:
        """Returns this object's part of a state dump."""
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

    def _apply_rendered(self, result: _RenderResult) -> Result[int, Failure]:
        before = self.number
        for rendered in result.rendered_revisions:
            # The watch, the poll or a peer may have applied this revision
            # while it was rendered here.
            if rendered.state.number <= self.number:
                continue
            self._backlog.append(rendered.stored)
            self._set_state(rendered.state)
        if self.number > before:
            self._notify()
        if result.failure is not None:
            return Failed(result.failure)
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
) -> _RenderResult:
    # May run on a thread, so it uses immutable values only.
    rendered_revisions: list[_RenderedRevision] = []
    for stored in revisions:
        decoded = states.decode_revision(stored)
        if isinstance(decoded, Failed):
            return _RenderResult(tuple(rendered_revisions), decoded.failure())
        revision = decoded.unwrap()
        if revision.number <= state.number:
            continue
        applied = states.apply_revision(state, revision)
        if isinstance(applied, Failed):
            return _RenderResult(tuple(rendered_revisions), applied.failure())
        state = applied.unwrap()
        rendered_revisions.append(_RenderedRevision(stored, state))
    return _RenderResult(tuple(rendered_revisions), None)
