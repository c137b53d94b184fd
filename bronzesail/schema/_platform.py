"""Messages of the platform's table, object and host services. Generated from platform.json; do not edit."""

from __future__ import annotations

from typing import ClassVar

import attrs

__all__ = [
    "HostEntry",
    "HostList",
    "ReadRequest",
    "Row",
    "RowCheck",
    "RowWrite",
    "RowsReply",
    "ScanRequest",
    "TransactReply",
    "TransactRequest",
]


@attrs.frozen
class Row:
    """One committed row of the table service.

    Attributes
    ----------
    key : str
        Row key; segments are joined by a slash.
    version : int
        Version of the row, from 1; 0 means that the row is absent.
    value : bytes
        Encoded row content.
    """

    CODE: ClassVar[int] = 100

    key: str
    version: int
    value: bytes


@attrs.frozen
class RowWrite:
    """Conditional write of one row in a transaction.

    Attributes
    ----------
    key : str
        Row key.
    expected_version : int
        Version the row must have; 0 means that it must be absent.
    value : bytes
        New content; ignored by a deletion.
    is_deletion : bool
        Whether the row is deleted.
    """

    key: str
    expected_version: int
    value: bytes = b""
    is_deletion: bool = False


@attrs.frozen
class RowCheck:
    """Condition on a row that the transaction does not write.

    Attributes
    ----------
    key : str
        Row key.
    expected_version : int
        Version the row must have.
    """

    key: str
    expected_version: int


@attrs.frozen
class TransactRequest:
    """All-or-nothing conditional transaction.

    Attributes
    ----------
    writer : str
        Identity of the writer, for the log of the service.
    sequence : int
        Number of the writer's transaction.
    writes : tuple[RowWrite, ...]
        Rows to write.
    checks : tuple[RowCheck, ...]
        Rows to compare only.
    """

    CODE: ClassVar[int] = 101

    writer: str
    sequence: int
    writes: tuple[RowWrite, ...]
    checks: tuple[RowCheck, ...] = ()


@attrs.frozen
class TransactReply:
    """Outcome of a transaction.

    Attributes
    ----------
    is_committed : bool
        Whether every condition held and all writes took effect.
    conflicts : tuple[Row, ...]
        Current rows whose condition failed.
    """

    CODE: ClassVar[int] = 102

    is_committed: bool
    conflicts: tuple[Row, ...] = ()


@attrs.frozen
class ReadRequest:
    """Consistent read of several rows.

    Attributes
    ----------
    keys : tuple[str, ...]
        Row keys.
    """

    CODE: ClassVar[int] = 103

    keys: tuple[str, ...]


@attrs.frozen
class ScanRequest:
    """Ordered read of the rows under a prefix.

    Attributes
    ----------
    prefix : str
        Prefix of the row keys.
    after : str
        Key after which the scan starts.
    limit : int
        Greatest number of rows returned.
    """

    CODE: ClassVar[int] = 104

    prefix: str
    after: str = ""
    limit: int = 1000


@attrs.frozen
class RowsReply:
    """Rows in the order asked for, or in key order.

    Attributes
    ----------
    rows : tuple[Row, ...]
        The rows; an absent row has version 0.
    """

    CODE: ClassVar[int] = 105

    rows: tuple[Row, ...]


@attrs.frozen
class HostEntry:
    """One host of the platform's host list.

    Attributes
    ----------
    host : str
        Name of the host.
    role : str
        Either router or the name of the service that a backend server offers.
    address : str
        IP address and port of its HTTP listener.
    data_centre : str
        Name of the data centre.
    region : str
        Name of the region.
    is_leaving : bool
        Whether the host must get no new work.
    peer_address : str
        IP address and port of a router's peer listener.
    """

    host: str
    role: str
    address: str
    data_centre: str
    region: str
    is_leaving: bool = False
    peer_address: str = ""


@attrs.frozen
class HostList:
    """The platform's lagging list of live and leaving hosts.

    Attributes
    ----------
    entries : tuple[HostEntry, ...]
        The hosts.
    revision : int
        Number that grows with each change.
    """

    CODE: ClassVar[int] = 106

    entries: tuple[HostEntry, ...]
    revision: int
