"""Messages of the request path between routers. Generated from request.json; do not edit."""

from __future__ import annotations

from typing import ClassVar

import attrs

from ._common import RouterId

__all__ = [
    "AnswerChunk",
    "AnswerPart",
    "ClaimRow",
    "FetchAnswer",
    "FindRequest",
    "ForwardReply",
    "ForwardRequest",
    "FoundRequest",
    "PoisonRow",
    "ReleaseClaim",
    "ReleaseReply",
    "SuspectNotice",
    "TrackKey",
    "TrackReply",
    "TrialEnd",
    "TrialReply",
    "TrialRequest",
]


@attrs.frozen
class ClaimRow:
    """Claim of the one dispatch of a request that must not be repeated.

    Attributes
    ----------
    digest : bytes
        Hash of what was asked.
    router : RouterId
        Router that may dispatch it.
    nonce : str
        Value drawn for this claim, to know it again after a lost answer.
    """

    CODE: ClassVar[int] = 400

    digest: bytes
    router: RouterId
    nonce: str


@attrs.frozen
class PoisonRow:
    """Request body that was seen on backend servers when they crashed.

    Attributes
    ----------
    backend_servers : tuple[str, ...]
        Backend servers that crashed, one entry a crash.
    is_quarantined : bool
        Whether copies of it are refused.
    """

    CODE: ClassVar[int] = 401

    backend_servers: tuple[str, ...]
    is_quarantined: bool


@attrs.frozen
class ForwardRequest:
    """Request under an issued key, sent to the key's issuer.

    Attributes
    ----------
    account : str
        Client account.
    key : str
        Request key.
    service : str
        Name of the service.
    class_name : str
        Class of the request.
    budget : str
        Name of the budget.
    method : str
        Method of a plain call.
    target : str
        Path and query of a plain call.
    content_type : str
        Content type of a plain call.
    body : bytes
        Body or prompt.
    digest : bytes
        Hash of what was asked.
    fingerprint : bytes
        Hash of what a backend server runs.
    max_tokens : int
        Output limit, in tokens.
    amount_tokens : int
        Greatest number of tokens the request may use.
    remaining_ms : int
        Time left until the deadline, in milliseconds.
    """

    CODE: ClassVar[int] = 410

    account: str
    key: str
    service: str
    class_name: str
    budget: str
    method: str
    target: str
    content_type: str
    body: bytes
    digest: bytes
    fingerprint: bytes
    max_tokens: int
    amount_tokens: int
    remaining_ms: int


@attrs.frozen
class ForwardReply:
    """Whether an issuer runs, or has run, a forwarded request.

    Attributes
    ----------
    is_accepted : bool
        Whether its answer can be fetched.
    code : int
        Result code of a refusal.
    is_not_run : bool
        Whether the refusal says not run.
    """

    CODE: ClassVar[int] = 411

    is_accepted: bool
    code: int = 0
    is_not_run: bool = False


@attrs.frozen
class FetchAnswer:
    """Asks the router that runs a request for parts of its answer.

    Attributes
    ----------
    account : str
        Client account.
    key : str
        Request key.
    after : int
        Number of the last part that is known.
    wait_ms : int
        Time to wait for a further part, in milliseconds.
    digest : bytes
        Hash of what was asked; empty if the sender was not told.
    is_attached : bool
        Whether the sender has read the request while it ran.
    """

    CODE: ClassVar[int] = 412

    account: str
    key: str
    after: int
    wait_ms: int
    digest: bytes = b""
    is_attached: bool = False


@attrs.frozen
class AnswerChunk:
    """One numbered part of an answer.

    Attributes
    ----------
    number : int
        Number from 1, without gaps.
    text : str
        Text of the part.
    tokens : int
        Tokens of the part.
    """

    number: int
    text: str
    tokens: int


@attrs.frozen
class AnswerPart:
    """Parts of an answer, and its ending once there is one.

    Attributes
    ----------
    is_known : bool
        Whether the router knows the request.
    chunks : tuple[AnswerChunk, ...]
        The parts, in order.
    is_ended : bool
        Whether the request has its ending.
    code : int
        Result code of the ending; 0 for a whole answer.
    is_not_run : bool
        Whether a refusal says not run.
    detail : str
        One sentence of a refusal.
    retry_after_ms : int
        Time after which sending again may help, in milliseconds.
    prompt_tokens : int
        Tokens of the prompt.
    output_tokens : int
        Tokens of the answer.
    charged_tokens : int
        Tokens charged.
    status : int
        HTTP status of a plain service's answer.
    content_type : str
        Content type of a plain service's answer.
    body : bytes
        Body of a plain service's answer.
    """

    CODE: ClassVar[int] = 413

    is_known: bool
    chunks: tuple[AnswerChunk, ...] = ()
    is_ended: bool = False
    code: int = 0
    is_not_run: bool = False
    detail: str = ""
    retry_after_ms: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    charged_tokens: int = 0
    status: int = 0
    content_type: str = ""
    body: bytes = b""


@attrs.frozen
class FindRequest:
    """Asks whether a router runs a request or has a journal record of it.

    Attributes
    ----------
    account : str
        Client account.
    key : str
        Request key.
    """

    CODE: ClassVar[int] = 414

    account: str
    key: str


@attrs.frozen
class FoundRequest:
    """What a router knows of a request.

    Attributes
    ----------
    is_holder : bool
        Whether its answer can be fetched here.
    has_record : bool
        Whether there is a journal record here.
    digest : bytes
        Hash of what was asked; empty if not known.
    service : str
        Name of the service.
    backend_server : str
        Backend server of the journal record.
    amount_tokens : int
        Tokens reserved.
    used_tokens : int
        Tokens used; -1 while not known.
    """

    CODE: ClassVar[int] = 415

    is_holder: bool
    has_record: bool
    digest: bytes = b""
    service: str = ""
    backend_server: str = ""
    amount_tokens: int = 0
    used_tokens: int = -1


@attrs.frozen
class TrackKey:
    """Tells a tracker who runs a request, unless another router does already.

    Attributes
    ----------
    account : str
        Client account.
    key : str
        Request key.
    is_query : bool
        Whether nothing is to be kept.
    is_takeover : bool
        Whether the sender runs it in place of a router that does not.
    """

    CODE: ClassVar[int] = 416

    account: str
    key: str
    is_query: bool
    is_takeover: bool = False


@attrs.frozen
class TrackReply:
    """Router that runs a request, as its tracker knows.

    Attributes
    ----------
    is_known : bool
        Whether a router came with the key before, the sender included.
    holder : RouterId
        The router that runs it.
    """

    CODE: ClassVar[int] = 417

    is_known: bool
    holder: RouterId


@attrs.frozen
class SuspectNotice:
    """Crash of a backend server that ran a request, or its acquittal.

    Attributes
    ----------
    fingerprint : bytes
        Hash of what a backend server runs.
    backend_servers : tuple[str, ...]
        Backend servers that crashed.
    is_cleared : bool
        Whether the request ran to its end on its trial.
    """

    CODE: ClassVar[int] = 418

    fingerprint: bytes
    backend_servers: tuple[str, ...]
    is_cleared: bool


@attrs.frozen
class TrialRequest:
    """Asks for the only trial of a suspect request.

    Attributes
    ----------
    fingerprint : bytes
        Hash of what a backend server runs.
    backend_server : str
        Backend server of the trial.
    """

    CODE: ClassVar[int] = 419

    fingerprint: bytes
    backend_server: str


@attrs.frozen
class TrialReply:
    """Answer to a request for a trial.

    Attributes
    ----------
    is_granted : bool
        Whether the trial may begin.
    is_quarantined : bool
        Whether the request is refused for good.
    """

    CODE: ClassVar[int] = 420

    is_granted: bool
    is_quarantined: bool


@attrs.frozen
class TrialEnd:
    """End of a trial.

    Attributes
    ----------
    fingerprint : bytes
        Hash of what a backend server runs.
    backend_server : str
        Backend server of the trial.
    """

    CODE: ClassVar[int] = 421

    fingerprint: bytes
    backend_server: str


@attrs.frozen
class ReleaseClaim:
    """Asks a claim's router to give up a claim that it never used.

    Attributes
    ----------
    account : str
        Client account.
    key : str
        Request key.
    nonce : str
        Value in the claim's row.
    """

    CODE: ClassVar[int] = 422

    account: str
    key: str
    nonce: str


@attrs.frozen
class ReleaseReply:
    """Whether a claim was given up for good.

    Attributes
    ----------
    is_released : bool
        Whether the sender may take the claim over.
    """

    CODE: ClassVar[int] = 423

    is_released: bool
