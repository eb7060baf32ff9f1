"""Reading and replacing single active declarations."""

from masticctl import changes
from masticctl.declarations import new_change
from masticctl.editing import not_found
from masticctl.session import Session
from masticdale_config import ABSENT, Declaration, DeclarationKey, key_of
from masticdale_config.messages import EditRequest, StoredDeclaration


async def read(session: Session, key: DeclarationKey) -> StoredDeclaration:
    """Fetches an active declaration.

    Raises:
        UsageError: The declaration does not exist.
    """
    page = await session.client.declarations(
        {"kind": key.kind.value, "name": key.name}
    )
    if not page.items:
        raise not_found(key)
    return page.items[0]


async def replace(
    session: Session,
    previous: StoredDeclaration | None,
    declaration: Declaration,
    reason: str,
    yes: bool,
) -> int:
    """Creates or replaces one declaration.

    The daemon rejects the change if the declaration is no longer as
    ``previous`` has it.

    Args:
        session: The session.
        previous: Declaration to replace; None to create a new one.
        declaration: New declaration.
        reason: Reason for the audit log.
        yes: Whether to skip the confirmation prompt.

    Returns:
        The exit code.
    """
    key = key_of(declaration)
    edit = EditRequest(
        kind=key.kind,
        name=key.name,
        seen=ABSENT if previous is None else previous.digest,
        after=declaration,
    )
    change = new_change([edit], reason)
    return await changes.confirm_and_apply(session, change, yes)
