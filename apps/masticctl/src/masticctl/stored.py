"""Reading single declarations in force and putting others in their place."""

from masticctl import changes
from masticctl.declarations import new_change
from masticctl.editing import missing
from masticctl.session import Session
from masticdale_config import ABSENT, Declaration, DeclarationKey, key_of
from masticdale_config.messages import EditRequest, StoredDeclaration


async def read(session: Session, key: DeclarationKey) -> StoredDeclaration:
    """Returns a declaration in force.

    Raises:
        UsageError: There is none.
    """
    page = await session.client.declarations(
        {"kind": key.kind.value, "name": key.name}
    )
    if not page.items:
        raise missing(key)
    return page.items[0]


async def put(
    session: Session,
    seen: StoredDeclaration | None,
    after: Declaration,
    reason: str,
    yes: bool,
) -> int:
    """Applies one declaration in place of the one seen.

    Args:
        session: The session.
        seen: What it replaces; None where there was none.
        after: What it is to be.
        reason: Why, for the audit log.
        yes: True to apply without asking.

    Returns:
        The exit code.
    """
    key = key_of(after)
    edit = EditRequest(
        kind=key.kind,
        name=key.name,
        seen=ABSENT if seen is None else seen.digest,
        after=after,
    )
    change = new_change([edit], reason)
    return await changes.confirm_and_apply(session, change, yes)
