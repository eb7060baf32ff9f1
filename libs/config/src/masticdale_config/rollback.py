"""The edits that restore the declarations of an earlier revision."""

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure
from masticdale_config import state as states
from masticdale_config.kinds import Declaration, DeclarationKey
from masticdale_config.revisions import ConfigStore, Edit

MAX_UNDONE_REVISIONS = 500


async def compute_rollback_edits(
    config_store: ConfigStore, number: int
) -> Result[tuple[Edit, ...], Failure]:
    """Computes edits that restore the declarations of an earlier revision.

    The edits are applied like any other change, so a rollback becomes a new
    revision and conflicts with concurrent changes.

    Args:
        config_store: Reads the revisions to undo.
        number: Number of the revision to restore.

    Returns:
        The edits, based on the current declarations; NOT_FOUND if the
        revision does not exist or a later one was trimmed.
    """
    loaded = await config_store.load()
    if isinstance(loaded, Failed):
        return loaded
    state = loaded.unwrap()
    rejection = _check_number(number, state.number)
    if rejection is not None:
        return Failed(rejection)
    before_by_key: dict[DeclarationKey, Declaration | None] = {}
    for later in range(number + 1, state.number + 1):
        outcome = await config_store.revision(later)
        if isinstance(outcome, Failed):
            return outcome
        revision = outcome.unwrap()
        if revision is None:
            detail = f"revision {later} is no longer stored"
            return Failed(Failure(ErrorKind.NOT_FOUND, detail))
        for edit in revision.edits:
            before_by_key.setdefault(edit.key, edit.before)
    return Success(
        tuple(
            Edit(key, state.digest_of(key), before)
            for key, before in sorted(before_by_key.items(), key=_by_key)
            if _digest(before) != state.digest_of(key)
        )
    )


def _check_number(number: int, newest: int) -> Failure | None:
    if not 1 <= number <= newest:
        detail = f"revisions are 1 to {newest}"
        return Failure(ErrorKind.NOT_FOUND, detail)
    if newest - number > MAX_UNDONE_REVISIONS:
        detail = (
            f"revision {number} is {newest - number} revisions back; at most"
            f" {MAX_UNDONE_REVISIONS} can be undone at once"
        )
        return Failure(ErrorKind.BAD_REQUEST, detail)
    return None


def _by_key(item: tuple[DeclarationKey, Declaration | None]) -> DeclarationKey:
    return item[0]


def _digest(declaration: Declaration | None) -> str:
    return states.ABSENT if declaration is None else declaration.digest
