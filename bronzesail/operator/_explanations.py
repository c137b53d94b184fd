"""Collect the recorded decisions about a subject from all live routers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from ..fleet import PeerRefusedError, PeerUnreachableError
from ..schema import DecisionEntry, ExplainReply, ExplainRequest

if TYPE_CHECKING:
    from ..explain import DecisionLog
    from ..fleet import Membership, PeerNetwork
    from ..schema import RouterId

__all__ = ["Explanation", "ExplainService"]

REPLY_TIMEOUT_S = 2.0
MILLISECONDS_PER_SECOND = 1000


@attrs.frozen
class Explanation:
    """Decisions about a subject, collected from the routers that responded.

    Attributes
    ----------
    subject : str
        Request, budget or configuration that the decisions concern.
    decisions : tuple of DecisionEntry
        The decisions, in chronological order.
    missing : tuple of str
        Hosts that refused, were unreachable or did not respond in time.
    """

    subject: str
    decisions: tuple[DecisionEntry, ...]
    missing: tuple[str, ...]


class ExplainService:
    """Collects decisions from all routers, and serves this router's own to peers.

    Parameters
    ----------
    decisions : DecisionLog
        Decision log of this router.
    network : PeerNetwork
        Sends and receives messages between routers.
    membership : Membership
        The live routers.
    """

    def __init__(
        self, decisions: DecisionLog, network: PeerNetwork, membership: Membership
    ) -> None:
        self._decisions = decisions
        self._network = network
        self._membership = membership
        network.register(ExplainRequest, self._handle_request)

    async def explain(self, subject: str) -> Explanation:
        """Return the decisions of every live router about a subject.

        Parameters
        ----------
        subject : str
            Request, budget or configuration, such as ``request/ACCOUNT/KEY``.

        Returns
        -------
        Explanation
            The decisions, and the hosts without a response.
        """
        peers = [router.router_id for router in self._membership.list_routers()]
        replies = await asyncio.gather(
            *(self._request_decisions(peer, subject) for peer in peers)
        )
        entries = list(self._list_own(subject))
        missing: list[str] = []
        for peer, reply in zip(peers, replies, strict=True):
            if reply is None:
                missing.append(peer.host)
                continue
            entries += reply.decisions
        entries.sort(key=lambda entry: entry.at_ms)
        return Explanation(subject, tuple(entries), tuple(missing))

    async def _request_decisions(
        self, peer: RouterId, subject: str
    ) -> ExplainReply | None:
        try:
            reply = await self._network.request(
                peer, ExplainRequest(subject), REPLY_TIMEOUT_S
            )
        except (PeerUnreachableError, PeerRefusedError):
            return None
        return reply if isinstance(reply, ExplainReply) else None

    async def _handle_request(
        self, sender: RouterId, request: ExplainRequest
    ) -> ExplainReply:
        return ExplainReply(self._list_own(request.subject))

    def _list_own(self, subject: str) -> tuple[DecisionEntry, ...]:
        host = self._membership.own.router_id.host
        return tuple(
            DecisionEntry(
                host,
                round(decision.at_s * MILLISECONDS_PER_SECOND),
                decision.part,
                decision.text,
            )
            for decision in self._decisions.find(subject)
        )
