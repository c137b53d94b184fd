"""Mutual challenge-response authentication of two routers with a shared secret."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING, Protocol

from ..schema import MemberEntry, PeerHello, PeerProof, PeerWelcome
from ..schema.codec import CodecError, decode_as, encode
from ._members import identify

if TYPE_CHECKING:
    import random

    from websockets.asyncio.client import ClientConnection
    from websockets.asyncio.server import ServerConnection

    from ..schema import RouterId

__all__ = ["Handshake", "compute_proof"]

NONCE_BYTES = 16
PROOF_BYTES = 16  # HMAC-SHA256 truncated to 128 bits.


def compute_proof(
    secret: bytes, role: str, hello: PeerHello, acceptor: RouterId, nonce: bytes
) -> bytes:
    """Return the HMAC with which one side of a new connection proves its identity.

    Parameters
    ----------
    secret : bytes
        Secret shared by all routers of the fleet.
    role : str
        Side that sends the proof, ``opener`` or ``acceptor``; hashing it in prevents
        a reflection attack.
    hello : PeerHello
        First message on the connection, which contains the opener's nonce.
    acceptor : RouterId
        Identity that the accepting side claims.
    nonce : bytes
        The accepting side's nonce.

    Returns
    -------
    bytes
        The truncated HMAC.
    """
    text = f"{role}\0{acceptor.host}\0{acceptor.incarnation}\0".encode()
    mac = hmac.new(secret, text + nonce + encode(hello), hashlib.sha256)
    return mac.digest()[:PROOF_BYTES]


class OwnEntrySource(Protocol):
    """Part of membership that the handshake uses."""

    @property
    def own_entry(self) -> MemberEntry:
        """Member entry that the router sends in the handshake."""


class Handshake:
    """Authenticates both ends of a new connection and exchanges member entries.

    Parameters
    ----------
    secret : bytes
        Secret shared by all routers of the fleet.
    random : random.Random
        Random number generator for the nonces.
    membership : OwnEntrySource
        Provides the own member entry.
    """

    def __init__(
        self, secret: bytes, random: random.Random, membership: OwnEntrySource
    ) -> None:
        self._secret = secret
        self._random = random
        self._membership = membership

    async def authenticate_as_opener(
        self, websocket: ClientConnection, target: RouterId
    ) -> PeerWelcome:
        """Run the handshake on a connection that this router opened.

        Parameters
        ----------
        websocket : ClientConnection
            Connection to authenticate.
        target : RouterId
            Router that should answer; incarnation 0 matches any.

        Returns
        -------
        PeerWelcome
            Message with the peer's member entry, its proof verified.

        Raises
        ------
        CodecError
            If a message of the peer is malformed or its proof does not verify.
        """
        hello = PeerHello(
            member=self._membership.own_entry,
            nonce=self._random.randbytes(NONCE_BYTES),
            target_host=target.host,
            target_incarnation=target.incarnation,
        )
        await websocket.send(encode(hello))
        welcome = decode_as(bytes(await websocket.recv(decode=False)), PeerWelcome)
        transcript = (hello, identify(welcome.member), welcome.nonce)
        self._check_proof("acceptor", transcript, welcome.proof)
        proof = compute_proof(self._secret, "opener", *transcript)
        await websocket.send(encode(PeerProof(proof)))
        return welcome

    async def authenticate_as_acceptor(self, websocket: ServerConnection) -> PeerHello:
        """Run the handshake on a connection that this router accepted.

        Parameters
        ----------
        websocket : ServerConnection
            Connection to authenticate.

        Returns
        -------
        PeerHello
            Message with the peer's member entry, its proof verified.

        Raises
        ------
        CodecError
            If a message of the peer is malformed or its proof does not verify.
        """
        hello = decode_as(bytes(await websocket.recv(decode=False)), PeerHello)
        own = self._membership.own_entry
        transcript = (hello, identify(own), self._random.randbytes(NONCE_BYTES))
        proof = compute_proof(self._secret, "acceptor", *transcript)
        await websocket.send(encode(PeerWelcome(own, transcript[2], proof)))
        answer = decode_as(bytes(await websocket.recv(decode=False)), PeerProof)
        self._check_proof("opener", transcript, answer.proof)
        return hello

    def _check_proof(
        self, role: str, transcript: tuple[PeerHello, RouterId, bytes], proof: bytes
    ) -> None:
        expected = compute_proof(self._secret, role, *transcript)
        if not hmac.compare_digest(expected, proof):
            raise CodecError(
                "the proof does not verify: the peer uses another shared secret"
            )
