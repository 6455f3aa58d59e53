"""Turns accepted documents into their typed form on a node.

A change touches few of the thousands of entries of a large site, and a node
must not stop its streams for the rest: entries that equal those of the
document read before are taken over from its typed form.
"""

from typing import Any

from azureline.config import defaults
from azureline.config import problems
from azureline.config import schema
from azureline.config import structure


class Reader:
    """Reads one document after another."""

    def __init__(self):
        self._document: dict[str, Any] = {}
        self._configuration: schema.Configuration | None = None

    def read(
        self, document: dict[str, Any]
    ) -> schema.Configuration | problems.Invalid:
        """Returns the typed form of a document.

        Options that this program does not know are left out, and those that
        the document lacks take their defaults, so that nodes of different
        program versions can read each other's documents.
        """
        completed = defaults.complete(
            self._unread(document), "configuration", strict=False
        )
        if isinstance(completed, problems.Invalid):
            return completed
        fresh = structure.typed(schema.Configuration, completed, strict=False)
        if isinstance(fresh, problems.Invalid):
            return fresh
        self._configuration = self._joined(document, fresh)
        self._document = document
        return self._configuration

    def _unread(self, document: dict[str, Any]) -> dict[str, Any]:
        """Returns the document without the entries that are known."""
        reduced = dict(document)
        for section in schema.NAMED_SECTIONS:
            entries = document.get(section)
            known = self._document.get(section)
            if isinstance(entries, dict) and known:
                reduced[section] = {
                    name: entry
                    for name, entry in entries.items()
                    if name not in known or known[name] != entry
                }
        return reduced

    def _joined(
        self, document: dict[str, Any], fresh: schema.Configuration
    ) -> schema.Configuration:
        """Returns the fresh entries and the known ones in one."""
        known = self._configuration
        if known is None:
            return fresh
        sections = {}
        for section in schema.NAMED_SECTIONS:
            old, new = getattr(known, section), getattr(fresh, section)
            sections[section] = {
                name: new[name] if name in new else old[name]
                for name in document.get(section) or {}
            }
        return fresh._replace(**sections)
