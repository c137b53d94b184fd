"""Request ids sent to backend servers, and request keys that routers issue."""

from __future__ import annotations

import hashlib
import hmac

import attrs

from ..schema import RouterId

__all__ = ["ISSUED_PREFIX", "IssuedKey", "KeyIssuer", "derive_request_id", "parse_key"]

# Marks a key that a router issued, as opposed to one that the caller chose.
ISSUED_PREFIX = "bz1."
# Sizes of the keyed BLAKE2b hash in a request id and in an issued key.
ID_BYTES = 20
MAC_BYTES = 12


def derive_request_id(secret: bytes, account: str, key: str) -> str:
    """Return the id under which backend servers know a request.

    Parameters
    ----------
    secret : bytes
        Secret that all routers share.
    account : str
        Client account.
    key : str
        Request key.

    Returns
    -------
    str
        Keyed hash that every router derives alike and no client account can guess.
    """
    return _authenticate(secret, "request", account, key, size=ID_BYTES)


def _authenticate(secret: bytes, purpose: str, *fields: str, size: int) -> str:
    key = hashlib.blake2b(secret, digest_size=32, person=purpose.encode()).digest()
    state = hashlib.blake2b(digest_size=size, key=key)
    for field in fields:
        data = field.encode("utf-8", "surrogateescape")
        state.update(len(data).to_bytes(8, "big"))
        state.update(data)
    return state.hexdigest()


@attrs.frozen
class IssuedKey:
    """Decoded request key that a router issued.

    Attributes
    ----------
    issuer : RouterId
        The only router that may dispatch a request under the key.
    counter : int
        Sequence number of the key per client account at its issuer, from 1.
    expires_ms : int
        Expiry time on the issuer's monotonic clock, in milliseconds.
    """

    issuer: RouterId
    counter: int
    expires_ms: int


def parse_key(secret: bytes, account: str, text: str) -> IssuedKey | None:
    """Decode an issued key if its message authentication code is valid.

    Parameters
    ----------
    secret : bytes
        Secret that all routers share.
    account : str
        Client account that uses the key.
    text : str
        The key.

    Returns
    -------
    IssuedKey or None
        The decoded key; None if it was not issued to this client account.
    """
    content, _, mac = text.rpartition(".")
    expected_mac = _authenticate(secret, "key", account, content, size=MAC_BYTES)
    if not hmac.compare_digest(mac.encode(), expected_mac.encode()):
        return None
    _, host, incarnation, counter, expires_ms = content.rsplit(".", 4)
    issuer = RouterId(host.replace("~", "."), int(incarnation))
    return IssuedKey(issuer, int(counter), int(expires_ms))


class KeyIssuer:
    """Issues request keys on one router and records which were used.

    Parameters
    ----------
    secret : bytes
        Secret that all routers share.
    issuer : RouterId
        The router that issues the keys.
    lifetime_s : float
        Time after which an unused key expires, in seconds.
    """

    def __init__(self, secret: bytes, issuer: RouterId, lifetime_s: float) -> None:
        self._secret = secret
        self._issuer = issuer
        self._lifetime_s = lifetime_s
        self._counters: dict[str, int] = {}
        self._used: dict[tuple[str, int], int] = {}

    def issue(self, account: str, now: float) -> str:
        """Return a new key.

        Parameters
        ----------
        account : str
            Client account that may use it.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        str
            The key.
        """
        counter = self._counters.get(account, 0) + 1
        self._counters[account] = counter
        expires_ms = int((now + self._lifetime_s) * 1000)
        host = self._issuer.host.replace(".", "~")
        fields = (host, self._issuer.incarnation, counter, expires_ms)
        content = ISSUED_PREFIX + ".".join(str(field) for field in fields)
        mac = _authenticate(self._secret, "key", account, content, size=MAC_BYTES)
        return f"{content}.{mac}"

    def claim(self, account: str, key: IssuedKey, now: float) -> bool:
        """Mark a key as used, if it is unused and has not expired.

        Parameters
        ----------
        account : str
            Client account it was issued to.
        key : IssuedKey
            Decoded key.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        bool
            False if the key was already used, has expired or is another router's.
        """
        if not self.is_unused(account, key, now):
            return False
        self._used[(account, key.counter)] = key.expires_ms
        self._remove_expired(int(now * 1000))
        return True

    def is_unused(self, account: str, key: IssuedKey, now: float) -> bool:
        """Return whether this router issued a key that is unused and has not expired.

        Parameters
        ----------
        account : str
            Client account it was issued to.
        key : IssuedKey
            Decoded key.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        bool
            Whether `claim` would succeed; then nothing can have run under the key.
        """
        if key.issuer != self._issuer or key.expires_ms <= int(now * 1000):
            return False
        return (account, key.counter) not in self._used

    def _remove_expired(self, now_ms: int) -> None:
        while self._used:
            name = next(iter(self._used))
            if self._used[name] > now_ms:
                return
            del self._used[name]

    def release(self, account: str, key: IssuedKey) -> None:
        """Mark a key as unused again, because nothing was dispatched under it.

        Parameters
        ----------
        account : str
            Client account it was issued to.
        key : IssuedKey
            Claimed key.
        """
        self._used.pop((account, key.counter), None)
