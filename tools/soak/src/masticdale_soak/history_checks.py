"""Checks of conversations whose turns are kept."""

from collections.abc import Iterable, Iterator, Mapping

import httpx

from masticdale_soak.load_generator import Attempt, RequestKind


def find_wrong_histories(
    attempts: Iterable[Attempt], bodies: Iterable[tuple[str, bytes]]
) -> Iterator[tuple[str, str]]:
    """Finds bodies that are not the chain, and kept turns that are unknown.

    A chain is what was sent and received before, byte for byte.

    Args:
        attempts: All requests.
        bodies: Request ids and bodies that replicas got.

    Yields:
        Request ids and what was seen.
    """
    attempt_by_id = {
        a.request_id: a for a in attempts if a.kind is RequestKind.CONVERSATION
    }
    for attempt in attempt_by_id.values():
        if attempt.status == httpx.codes.NOT_FOUND:
            yield attempt.request_id, f"{attempt.previous_id} is unknown"
    for request_id, body in bodies:
        if request_id not in attempt_by_id:
            continue
        attempt = attempt_by_id[request_id]
        expected = _chain(attempt, attempt_by_id) + attempt.content
        if body != expected:
            yield request_id, f"{body!r} instead of {expected!r}"


def _chain(attempt: Attempt, attempt_by_id: Mapping[str, Attempt]) -> bytes:
    """Returns the inputs and outputs of the turns before a turn."""
    if not attempt.previous_id:
        return b""
    previous = attempt_by_id[attempt.previous_id]
    before = _chain(previous, attempt_by_id)
    return before + previous.content + previous.event_content()
