"""The revision in force on this host."""

import collections
import dataclasses
from collections.abc import Callable, Iterable

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import Failure, JsonValue, logs
from masticdale_config import state as states
from masticdale_config.rendered import RenderedConfig

KEPT_REVISIONS = 256

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


class ConfigInForce:
    """Follows revisions in order and never goes back.

    A reader takes ``current`` once and uses that object for the whole
    request; it never changes.
    """

    def __init__(self) -> None:
        self._state = states.EMPTY_STATE
        self._kept: collections.deque[bytes] = collections.deque(
            maxlen=KEPT_REVISIONS
        )
        self._subscribers: list[Subscriber] = []
        self._snapshot = b""

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
        before = self.number
        outcome = self._follow_all(revisions)
        if self.number > before:
            self._notify()
        return outcome.map(lambda _: self.number)

    def apply_snapshot(self, snapshot: bytes) -> Result[int, Failure]:
        """Brings a whole state into force if it is newer.

        Args:
            snapshot: Bytes of ``RevisionsExport`` or the platform.

        Returns:
            The number in force, or INTERNAL where the digest does not come
            out; then nothing has changed.
        """
        outcome = states.decode_snapshot(snapshot)
        if isinstance(outcome, Failed):
            return outcome
        state = outcome.unwrap()
        if state.number <= self.number:
            return Success(self.number)
        self._kept.clear()
        self._set(state)
        self._notify()
        return Success(self.number)

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
        missing = self.number - number
        if missing <= 0:
            return RevisionsExport(self.number, (), b"")
        if missing <= len(self._kept):
            kept = tuple(self._kept)[-missing:]
            return RevisionsExport(self.number, kept, b"")
        if not self._snapshot:
            self._snapshot = states.encode_snapshot(self._state)
        return RevisionsExport(self.number, (), self._snapshot)

    def dump(self) -> JsonValue:
        """Returns what a state dump shows."""
        return {
            "revision": self.number,
            "digest": self.current.digest,
            "workspaces": len(self.current.workspace_by_name),
            "upstreams": len(self.current.upstreams.by_name),
            "kept_revisions": len(self._kept),
        }

    def _follow_all(self, revisions: Iterable[bytes]) -> Result[None, Failure]:
        for stored in revisions:
            decoded = states.decode_revision(stored)
            if isinstance(decoded, Failed):
                return decoded
            revision = decoded.unwrap()
            if revision.number <= self.number:
                continue
            followed = states.follow(self._state, revision)
            if isinstance(followed, Failed):
                return followed
            self._kept.append(stored)
            self._set(followed.unwrap())
        return Success(None)

    def _set(self, state: states.ConfigState) -> None:
        self._snapshot = b""
        self._state = state

    def _notify(self) -> None:
        for subscriber in list(self._subscribers):
            try:
                subscriber(self.current)
            except Exception as error:
                logs.write("config_subscriber_failed", error=repr(error))
