"""Which hosts this one receives updates from, and the log of it.

Hosts share the retry budget and much else through their peer updates, so one
that receives none serves its callers with far fewer retries, or with too many.
Nothing else shows that: each host by itself works. Read next:
`egretspur.membership.hosts`.
"""

from __future__ import annotations

from typing import Final

import attrs

from egretspur import decisions

# A host or data centre that others name counts as unheard after this long
# without an update from it.
UNHEARD_AFTER_S: Final = 5.0


@attrs.frozen
class Contact:
    """The hosts that send updates to this one, and those that don't."""

    # Hosts of any data centre with a recent update.
    heard: int = 0
    # Hosts of this data centre that the settings, the store or another host
    # name, and from which no update came lately.
    unheard: tuple[str, ...] = ()
    # Data centres of the settings from which no update came lately.
    silent_data_centres: tuple[str, ...] = ()


class ContactLog:
    """Logs which hosts are not heard each time that it changes."""

    def __init__(self) -> None:
        self._last = (Contact().unheard, Contact().silent_data_centres)

    def note(self, contact: Contact) -> None:
        """Logs a contact if it differs from the last one."""
        missing = (contact.unheard, contact.silent_data_centres)
        if missing == self._last:
            return
        self._last = missing
        decisions.record(
            decisions.PeersChanged(
                contact.heard,
                len(contact.unheard),
                decisions.limit_ids(contact.unheard),
                decisions.limit_ids(contact.silent_data_centres),
            )
        )
