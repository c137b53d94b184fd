"""In-memory version log of one router, without any I/O."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from ..schema import ConfigurationDelta, ConfigurationVersion
from ..schema.codec import CodecError
from ..util.invariants import check_invariant
from ._fold import SCHEMA_LEVEL, fold_entry, list_changes
from ._state import Configuration

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["VersionLog"]

# Entries kept in memory for pulls of peers; a peer that is further behind is sent a
# snapshot.
MAX_KEPT_ENTRIES = 512

# Operator name in the entries that represent snapshots.
SNAPSHOT_OPERATOR = "snapshot"


class VersionLog:
    """Applied log entries and the configuration they result in.

    The version never decreases. `blocked_reason` states why the next entry cannot be
    applied; it is empty if nothing is blocked.

    Parameters
    ----------
    schema_level : int
        Highest schema level that this program supports.
    """

    def __init__(self, schema_level: int = SCHEMA_LEVEL) -> None:
        self._schema_level = schema_level
        self._configuration = Configuration()
        self._entries: deque[ConfigurationVersion] = deque(maxlen=MAX_KEPT_ENTRIES)
        self.blocked_reason = ""

    @property
    def configuration(self) -> Configuration:
        """Configuration after the last applied entry."""
        return self._configuration

    @property
    def version(self) -> int:
        """Version of the last applied entry; 0 if there is none."""
        return self._configuration.version

    def adopt(self, entries: Iterable[ConfigurationVersion]) -> int:
        """Apply entries in order, up to a gap or an entry that cannot be applied.

        Parameters
        ----------
        entries : iterable of ConfigurationVersion
            Log entries in order. Entries of versions already applied are compared with
            the local ones.

        Returns
        -------
        int
            Number of entries applied.

        Raises
        ------
        InvariantError
            If an entry differs from the one applied at its version.
        """
        n_adopted = 0
        for entry in entries:
            if entry.version <= self.version:
                self._check_same_entry(entry)
                continue
            if entry.version != self.version + 1:
                break
            if not self._apply(entry):
                break
            n_adopted += 1
        return n_adopted

    def adopt_delta(self, delta: ConfigurationDelta) -> int:
        """Apply the entries or the snapshot of a peer's reply.

        Parameters
        ----------
        delta : ConfigurationDelta
            Reply of the peer to a pull.

        Returns
        -------
        int
            Number of entries applied.

        Raises
        ------
        InvariantError
            If an entry differs from the one applied at its version.
        """
        if not delta.is_snapshot:
            return self.adopt(delta.entries)
        return self.adopt_snapshot(delta.entries)

    def adopt_snapshot(self, entries: tuple[ConfigurationVersion, ...]) -> int:
        """Replace the configuration by a snapshot of a later version.

        Parameters
        ----------
        entries : tuple of ConfigurationVersion
            Snapshot, as one entry that sets every entity.

        Returns
        -------
        int
            1 if the snapshot was applied, else 0.
        """
        if not entries or entries[0].version <= self.version:
            return 0
        previous = self._configuration
        self._configuration = Configuration()
        if not self._apply(entries[0]):
            self._configuration = previous
            return 0
        check_invariant(
            previous.version < self.version, "I7: the version never decreases"
        )
        self._entries.clear()
        return 1

    def make_delta(self, after: int, limit: int) -> ConfigurationDelta:
        """Return the entries after a version, or a snapshot if some are not kept.

        Parameters
        ----------
        after : int
            Last version that the requester has.
        limit : int
            Maximum number of entries.

        Returns
        -------
        ConfigurationDelta
            Reply to a pull.
        """
        if after >= self.version:
            return ConfigurationDelta(head=self.version)
        if not self._entries or self._entries[0].version > after + 1:
            return ConfigurationDelta(self.version, (self.make_snapshot(),), True)
        start = after + 1 - self._entries[0].version
        entries = tuple(self._entries)[start : start + limit]
        return ConfigurationDelta(self.version, entries)

    def make_snapshot(self) -> ConfigurationVersion:
        """Return the configuration as one entry that sets every entity."""
        return ConfigurationVersion(
            version=self.version,
            operator=SNAPSHOT_OPERATOR,
            schema_level=self._schema_level,
            changes=list_changes(self._configuration),
        )

    def _apply(self, entry: ConfigurationVersion) -> bool:
        """Apply one entry, or record why it is blocked and return False."""
        previous_version = self.version
        if entry.schema_level > self._schema_level:
            self.blocked_reason = (
                f"version {entry.version} needs schema level {entry.schema_level}, "
                f"this program supports level {self._schema_level}"
            )
            return False
        try:
            configuration = fold_entry(self._configuration, entry)
        except CodecError as error:
            self.blocked_reason = f"version {entry.version} cannot be decoded: {error}"
            return False
        check_invariant(
            configuration.version > previous_version, "I7: the version never decreases"
        )
        self._configuration = configuration
        self._entries.append(entry)
        self.blocked_reason = ""
        return True

    def _check_same_entry(self, entry: ConfigurationVersion) -> None:
        """Check that an entry equals the kept one of the same version, if any."""
        if not self._entries or entry.version < self._entries[0].version:
            return
        kept = self._entries[entry.version - self._entries[0].version]
        check_invariant(kept == entry, "I7: each version has one entry")
