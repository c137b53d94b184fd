"""Rows and messages of prepaid budgets. Generated from budget.json; do not edit."""

from __future__ import annotations

from typing import ClassVar

import attrs

from ._common import RouterId

__all__ = [
    "BudgetRow",
    "ChargeLine",
    "FenceReply",
    "FenceRequest",
    "GrantEntry",
    "HoldEntry",
    "JournalAppend",
    "JournalEntry",
    "JournalRecord",
    "JournalReply",
    "LedgerPage",
    "TopUpRow",
    "TransferAsk",
    "TransferId",
    "TransferOffer",
]


@attrs.frozen
class TransferId:
    """Identity of one transfer between grants.

    Attributes
    ----------
    grant_id : str
        Grant that gives.
    sequence : int
        Sequence number of the record in the giving grant.
    """

    grant_id: str
    sequence: int


@attrs.frozen
class GrantEntry:
    """Outstanding grant of one router in a budget row.

    Attributes
    ----------
    grant_id : str
        Identity of the grant, never used again.
    holder : RouterId
        Router that may spend from the grant.
    epoch : int
        Fencing number; raised by a reclaim.
    amount_tokens : int
        Tokens granted and not yet settled or returned.
    settled_sequence : int
        Sequence number up to which records are settled.
    journal_peers : tuple[RouterId, ...]
        Routers that keep copies of the unsettled records.
    write_number : int
        Number of the holder's last transaction, to recognise it after a lost answer.
    is_reclaimed : bool
        Whether a reclaim has raised the epoch and is under way.
    given_transfers : tuple[int, ...]
        Sequence numbers above the settled one of given transfers that left this grant.
    received_transfers : tuple[TransferId, ...]
        Transfers that others moved into this grant.
    """

    grant_id: str
    holder: RouterId
    epoch: int
    amount_tokens: int
    settled_sequence: int = 0
    journal_peers: tuple[RouterId, ...] = ()
    write_number: int = 0
    is_reclaimed: bool = False
    given_transfers: tuple[int, ...] = ()
    received_transfers: tuple[TransferId, ...] = ()


@attrs.frozen
class HoldEntry:
    """Tokens whose use is not known; they count as spent until it is.

    Attributes
    ----------
    grant_id : str
        Grant the tokens come from.
    sequence : int
        Sequence number of the record; 0 for the rest of a grant.
    amount_tokens : int
        Tokens held.
    request_key : str
        Key of the request; empty for the rest of a grant.
    service : str
        Name of the service.
    backend_server : str
        Backend server that runs or ran the request.
    reason : str
        One sentence for the operator.
    missing_peers : tuple[RouterId, ...]
        Journal peers that did not answer the reclaim.
    epoch : int
        Epoch to which the reclaim raised the grant.
    given_transfers : tuple[int, ...]
        Sequence numbers of given transfers that left the grant.
    known_sequences : tuple[int, ...]
        Sequence numbers of records that were taken out of the rest.
    settled_sequence : int
        Sequence number up to which the grant was settled.
    reserved_tokens : int
        Most tokens that the record may use; other holds of the grant cover what
        amount_tokens does not.
    given_to : str
        Grant that takes a transfer whose fate is unknown; empty for others.
    """

    grant_id: str
    sequence: int
    amount_tokens: int
    request_key: str = ""
    service: str = ""
    backend_server: str = ""
    reason: str = ""
    missing_peers: tuple[RouterId, ...] = ()
    epoch: int = 0
    given_transfers: tuple[int, ...] = ()
    known_sequences: tuple[int, ...] = ()
    settled_sequence: int = 0
    reserved_tokens: int = 0
    given_to: str = ""


@attrs.frozen
class BudgetRow:
    """Escrow account of one prepaid budget.

    Attributes
    ----------
    account : str
        Client account.
    budget : str
        Name of the budget.
    prepaid_tokens : int
        Tokens bought so far.
    settled_tokens : int
        Tokens charged so far.
    held_tokens : int
        Tokens of records whose outcome is unknown.
    grants : tuple[GrantEntry, ...]
        Outstanding grants.
    holds : tuple[HoldEntry, ...]
        Tokens whose use is not known; their sum is held_tokens.
    """

    CODE: ClassVar[int] = 300

    account: str
    budget: str
    prepaid_tokens: int
    settled_tokens: int
    held_tokens: int = 0
    grants: tuple[GrantEntry, ...] = ()
    holds: tuple[HoldEntry, ...] = ()


@attrs.frozen
class TopUpRow:
    """Top-up that took effect, kept so that its id counts once.

    Attributes
    ----------
    top_up_id : str
        Id chosen by the operator.
    amount_tokens : int
        Tokens added.
    """

    CODE: ClassVar[int] = 301

    top_up_id: str
    amount_tokens: int


@attrs.frozen
class ChargeLine:
    """One charge; its digest is unique in the client account.

    Attributes
    ----------
    digest : bytes
        Digest of the client account and the request key.
    tokens : int
        Tokens charged.
    budget : str
        Name of the budget.
    at_s : int
        Wall time of the settlement, in seconds since the epoch.
    """

    digest: bytes
    tokens: int
    budget: str
    at_s: int


@attrs.frozen
class LedgerPage:
    """Page of a client account's charges; a full page never changes.

    Attributes
    ----------
    lines : tuple[ChargeLine, ...]
        Charges in the order of their settlement.
    """

    CODE: ClassVar[int] = 302

    lines: tuple[ChargeLine, ...]


@attrs.frozen
class JournalRecord:
    """Record of a holder's grant that a journal peer copies.

    Attributes
    ----------
    sequence : int
        Number of the record in the grant, from 1.
    attempt : int
        Number of the dispatch; the highest one of a record counts.
    amount_tokens : int
        Tokens reserved or transferred.
    used_tokens : int
        Tokens used; -1 while it is not known.
    request_key : str
        Key of the request; empty for a transfer.
    service : str
        Name of the service.
    backend_server : str
        Backend server that runs the request.
    given_to : str
        Grant that takes the transfer; empty for others.
    received_from : str
        Grant that gave the transfer; empty for others.
    giver_sequence : int
        Sequence number of a received transfer in the giving grant.
    """

    sequence: int
    attempt: int
    amount_tokens: int
    used_tokens: int
    request_key: str = ""
    service: str = ""
    backend_server: str = ""
    given_to: str = ""
    received_from: str = ""
    giver_sequence: int = 0


@attrs.frozen
class JournalEntry:
    """Records of one grant in a journal message.

    Attributes
    ----------
    account : str
        Client account.
    budget : str
        Name of the budget.
    grant_id : str
        Identity of the grant.
    epoch : int
        Epoch under which the records were made.
    settled_sequence : int
        Sequence number up to which records may be dropped.
    records : tuple[JournalRecord, ...]
        The records.
    is_finished : bool
        Whether the grant was returned.
    """

    account: str
    budget: str
    grant_id: str
    epoch: int
    settled_sequence: int
    records: tuple[JournalRecord, ...]
    is_finished: bool = False


@attrs.frozen
class JournalAppend:
    """Records of a holder for a journal peer.

    Attributes
    ----------
    entries : tuple[JournalEntry, ...]
        Records by grant.
    """

    CODE: ClassVar[int] = 310

    entries: tuple[JournalEntry, ...]


@attrs.frozen
class JournalReply:
    """Acknowledgement of every entry but those of fenced grants.

    Attributes
    ----------
    fenced_grants : tuple[str, ...]
        Grants whose epoch was fenced.
    """

    CODE: ClassVar[int] = 311

    fenced_grants: tuple[str, ...] = ()


@attrs.frozen
class FenceRequest:
    """Orders a journal peer to refuse records of older epochs of a grant.

    Attributes
    ----------
    grant_id : str
        Identity of the grant.
    epoch : int
        Lowest epoch still accepted.
    """

    CODE: ClassVar[int] = 312

    grant_id: str
    epoch: int


@attrs.frozen
class FenceReply:
    """Records of a grant that a journal peer has once it is fenced.

    Attributes
    ----------
    records : tuple[JournalRecord, ...]
        The records.
    """

    CODE: ClassVar[int] = 313

    records: tuple[JournalRecord, ...]


@attrs.frozen
class TransferAsk:
    """Asks a holder for tokens of its grant.

    Attributes
    ----------
    account : str
        Client account.
    budget : str
        Name of the budget.
    grant_id : str
        Grant that is to take the tokens.
    amount_tokens : int
        Tokens that waiting requests need.
    wish_tokens : int
        Tokens welcome beyond that, if the giver can spare them.
    """

    CODE: ClassVar[int] = 314

    account: str
    budget: str
    grant_id: str
    amount_tokens: int
    wish_tokens: int = 0


@attrs.frozen
class TransferOffer:
    """Tokens that left the giving grant for good.

    Attributes
    ----------
    giver_grant_id : str
        Grant that gives; empty if nothing is given.
    giver_sequence : int
        Sequence number of the transfer in that grant.
    amount_tokens : int
        Tokens given.
    is_more_expected : bool
        Whether open reservations may return tokens later.
    row_version : int
        Version of the budget's row from which on the giver's entry covers the transfer.
    """

    CODE: ClassVar[int] = 315

    giver_grant_id: str
    giver_sequence: int = 0
    amount_tokens: int = 0
    is_more_expected: bool = False
    row_version: int = 0
