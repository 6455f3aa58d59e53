"""Converts accepted documents to their typed form on a node.

A change affects few of the thousands of entries of a large site, and converting
the others again would stall the node's streams.  Entries that equal those of
the previous document are therefore reused from its typed form.
"""

from typing import Any

from azureline.config import defaults
from azureline.config import problems
from azureline.config import schema
from azureline.config import structure


class Reader:
    """Converts successive documents and reuses unchanged entries."""

    def __init__(self):
        self._document: dict[str, Any] = {}
        self._configuration: schema.Configuration | None = None

    def read(
        self, document: dict[str, Any]
    ) -> schema.Configuration | problems.Invalid:
        """Returns the typed form of a document.

        Options that this program does not know are ignored, and options that
        the document lacks get their defaults, so that nodes of different
        program versions can read each other's documents.
        """
        completed = defaults.complete(
            self._without_unchanged(document), "configuration", strict=False
        )
        if isinstance(completed, problems.Invalid):
            return completed
        converted = structure.typed(
            schema.Configuration, completed, strict=False
        )
        if isinstance(converted, problems.Invalid):
            return converted
        self._configuration = self._combine(document, converted)
        self._document = document
        return self._configuration

    def _without_unchanged(self, document: dict[str, Any]) -> dict[str, Any]:
        """Returns the document without the entries that did not change."""
        reduced = dict(document)
        for section in schema.NAMED_SECTIONS:
            entries = document.get(section)
            previous = self._document.get(section)
            if isinstance(entries, dict) and previous:
                reduced[section] = {
                    name: entry
                    for name, entry in entries.items()
                    if name not in previous or previous[name] != entry
                }
        return reduced

    def _combine(
        self, document: dict[str, Any], converted: schema.Configuration
    ) -> schema.Configuration:
        """Returns the converted entries together with the reused ones."""
        previous = self._configuration
        if previous is None:
            return converted
        sections = {}
        for section in schema.NAMED_SECTIONS:
            old, new = getattr(previous, section), getattr(converted, section)
            sections[section] = {
                name: new[name] if name in new else old[name]
                for name in document.get(section) or {}
            }
        return converted._replace(**sections)
