"""State machine of one request, without I/O: transitions, result and invariants.

Labels such as ``I5`` in the messages refer to the numbered invariants of the design.
"""

from __future__ import annotations

import attrs

from ..errors import Refusal, ResultCode
from ..util.invariants import check_invariant

__all__ = ["Chunk", "Ending", "ReplayMismatchError", "RequestLife", "WholeAnswer"]


@attrs.frozen
class Chunk:
    """One numbered part of a streamed answer.

    Attributes
    ----------
    number : int
        Sequence number, consecutive from 1.
    text : str
        Text of the part.
    tokens : int
        Tokens of the part.
    """

    number: int
    text: str
    tokens: int


@attrs.frozen
class WholeAnswer:
    """A complete answer.

    Attributes
    ----------
    prompt_tokens, output_tokens : int
        Token usage as the backend server reported it.
    charged_tokens : int
        Tokens charged; at most the reserved tokens.
    status : int
        HTTP status of a plain service's answer; 0 for a model's answer.
    content_type : str
        Content type of a plain service's answer.
    body : bytes
        Body of a plain service's answer.
    """

    prompt_tokens: int
    output_tokens: int
    charged_tokens: int
    status: int = 0
    content_type: str = ""
    body: bytes = b""


Ending = WholeAnswer | Refusal


class ReplayMismatchError(Exception):
    """Raised when a rerun's answer differs from parts that are already kept."""


@attrs.define
class RequestLife:
    """State of one request from its reservation to its single result.

    Attributes
    ----------
    is_repeatable : bool
        Whether the request may be dispatched more than once.
    may_have_run_before : bool
        Whether an earlier run under the same request key cannot be ruled out.
    reserved_tokens : int
        Tokens reserved; -1 while there is no reservation.
    is_journaled : bool
        Whether the next dispatch has an open journal record.
    n_dispatches : int
        Dispatches that may have sent a byte to a backend server.
    chunks : list of Chunk
        Parts received so far, numbered from 1.
    n_delivered : int
        Number of parts that were delivered to a caller or a peer.
    n_run_chunks : int
        Number of parts received from the current run. Those that an earlier run
        produced too were compared with it.
    ending : WholeAnswer or Refusal or None
        Result of the request; set once.
    is_mirror : bool
        Whether another router dispatched the request and charges for it.
    previous_refusal : Refusal or None
        Refusal that ended this router's previous request under the same key.
    """

    is_repeatable: bool
    may_have_run_before: bool = False
    reserved_tokens: int = -1
    is_journaled: bool = False
    n_dispatches: int = 0
    chunks: list[Chunk] = attrs.field(factory=list)
    n_delivered: int = 0
    n_run_chunks: int = 0
    ending: Ending | None = None
    is_mirror: bool = False
    previous_refusal: Refusal | None = None

    @property
    def is_not_run(self) -> bool:
        """Whether no byte of the request can have reached a backend server."""
        return self.n_dispatches == 0 and not self.may_have_run_before

    @property
    def is_dispatch_allowed(self) -> bool:
        """Whether a dispatch may start: a non-repeatable request allows only one."""
        return self.is_repeatable or self.is_not_run

    def note_reserved(self, amount_tokens: int) -> None:
        """Record that tokens were reserved.

        Parameters
        ----------
        amount_tokens : int
            Tokens reserved.
        """
        check_invariant(self.reserved_tokens < 0, "I2: a request has one reservation")
        check_invariant(self.ending is None, "a request has one result")
        self.reserved_tokens = amount_tokens

    def note_journaled(self) -> None:
        """Record that the next dispatch has an open journal record."""
        check_invariant(
            self.reserved_tokens >= 0, "I2: dispatch journaled without a reservation"
        )
        self.is_journaled = True

    def drop_reservation(self) -> None:
        """Drop the reservation, because another router runs the request."""
        check_invariant(
            self.n_dispatches == 0, "I2: reservation dropped after a dispatch"
        )
        self.reserved_tokens = -1
        self.is_journaled = False

    def start_mirror(self) -> None:
        """Become a mirror of a request that another router dispatched."""
        check_invariant(self.n_dispatches == 0, "I5: mirror started after a dispatch")
        check_invariant(self.ending is None, "a request has one result")
        self.may_have_run_before = True
        self.is_mirror = True
        self.n_dispatches = 1

    def note_remote_reservation(self, amount_tokens: int) -> None:
        """Record the reservation of the lost router, which bounds the charge.

        Parameters
        ----------
        amount_tokens : int
            Tokens reserved.
        """
        check_invariant(
            self.is_mirror, "I2: only a mirror uses another router's reservation"
        )
        self.reserved_tokens = amount_tokens

    def leave_mirror(self, is_not_run: bool) -> None:
        """Stop being a mirror, so that this router can run the request itself.

        Parameters
        ----------
        is_not_run : bool
            Whether the other router reported that the request did not run.
        """
        check_invariant(self.is_mirror, "the request is not a mirror")
        check_invariant(
            self.is_repeatable, "I5: second run of a non-repeatable request"
        )
        check_invariant(
            self.n_delivered == 0, "I6: second run after a part was delivered"
        )
        self.is_mirror = False
        self.may_have_run_before = not is_not_run
        self.n_dispatches = 0
        self.reserved_tokens = -1
        self.n_run_chunks = 0
        self.chunks.clear()

    def start_dispatch(self) -> None:
        """Count a dispatch; called before its first byte is sent."""
        check_invariant(self.ending is None, "I4: dispatch after the result")
        check_invariant(not self.is_mirror, "I5: dispatch by a mirror")
        check_invariant(self.is_journaled, "dispatch without a journal record")
        check_invariant(
            self.is_dispatch_allowed, "I5: second dispatch of a non-repeatable request"
        )
        self.n_dispatches += 1
        self.is_journaled = False
        self.n_run_chunks = 0
        if self.n_delivered == 0:
            self.chunks.clear()

    def note_unsent(self) -> None:
        """Undo the count of a dispatch of which no byte was sent."""
        check_invariant(self.n_dispatches > 0, "no dispatch to mark as unsent")
        self.n_dispatches -= 1

    @property
    def last_number(self) -> int:
        """Number of the last part received from the current run."""
        return self.n_run_chunks

    def add_chunk(self, chunk: Chunk) -> bool:
        """Add a part if it is the next one of the current run.

        Parameters
        ----------
        chunk : Chunk
            The part.

        Returns
        -------
        bool
            False for a gap; the caller then rereads the stream from `last_number`.

        Raises
        ------
        ReplayMismatchError
            If the part differs from the one that an earlier run produced.
        """
        check_invariant(
            self.n_dispatches > 0, "I6: part of an answer without a dispatch"
        )
        check_invariant(self.ending is None, "I6: part after the result")
        if chunk.number <= self.n_run_chunks:
            return True
        if chunk.number != self.n_run_chunks + 1:
            return False
        if chunk.number <= len(self.chunks):
            if self.chunks[chunk.number - 1] != chunk:
                raise ReplayMismatchError
        else:
            self.chunks.append(chunk)
        self.n_run_chunks = chunk.number
        return True

    def note_delivered(self, number: int) -> None:
        """Record that the parts up to a number were delivered.

        Parameters
        ----------
        number : int
            Number of the last delivered part.
        """
        check_invariant(
            number <= len(self.chunks), "I6: delivered a part that was not received"
        )
        self.n_delivered = max(self.n_delivered, number)

    def complete(self, answer: WholeAnswer, last_number: int) -> None:
        """End the request with a complete answer.

        Parameters
        ----------
        answer : WholeAnswer
            The answer.
        last_number : int
            Number of the answer's last part; 0 for a plain service.
        """
        check_invariant(self.ending is None, "a request has one result")
        check_invariant(self.n_dispatches > 0, "complete answer without a dispatch")
        check_invariant(
            last_number == len(self.chunks),
            "I6: incomplete answer reported as complete",
        )
        check_invariant(
            self.n_run_chunks == last_number,
            "I6: second run was not compared with the first",
        )
        is_charge_covered = 0 <= answer.charged_tokens <= max(0, self.reserved_tokens)
        check_invariant(
            is_charge_covered or self.is_mirror, "I2: charge above the reservation"
        )
        self.ending = answer

    def refuse(self, refusal: Refusal) -> Refusal:
        """End the request with a refusal.

        "Not run" is reported only if no byte can have reached a backend server. A
        non-repeatable request that was dispatched is then reported as "outcome
        unknown" instead.

        Parameters
        ----------
        refusal : Refusal
            Proposed refusal; its `is_not_run` is cleared if it may be false.

        Returns
        -------
        Refusal
            The refusal that became the result.
        """
        check_invariant(self.ending is None, "a request has one result")
        is_not_run = refusal.is_not_run and self.is_not_run
        code = refusal.code
        if not self.is_repeatable and not self.is_not_run and refusal.is_not_run:
            code = ResultCode.OUTCOME_UNKNOWN if self.n_dispatches else code
        self.ending = attrs.evolve(refusal, code=code, is_not_run=is_not_run)
        check_invariant(
            not (is_not_run and self.n_dispatches),
            "I4: 'not run' reported after a dispatch",
        )
        return self.ending

    def adopt(self, refusal: Refusal) -> None:
        """End a mirror with the refusal of the router that runs the request.

        Parameters
        ----------
        refusal : Refusal
            Result on that router.
        """
        check_invariant(self.ending is None, "a request has one result")
        check_invariant(
            self.is_mirror, "I4: only a mirror adopts another router's refusal"
        )
        self.ending = refusal
