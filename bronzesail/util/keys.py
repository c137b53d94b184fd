"""Bearer keys of client accounts and operators, and their salted hashes.

Keys are drawn by `issue_key` with 192 random bits, so a fast keyed hash withstands
guessing; a slow password hash would only stall the loop.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets

__all__ = ["check_key", "hash_key", "issue_key", "make_salt", "split_key"]

SECRET_BYTES = 24
SALT_BYTES = 16
HASH_BYTES = 32


def make_salt() -> bytes:
    """Return a fresh random salt of 16 bytes."""
    return secrets.token_bytes(SALT_BYTES)


def issue_key(name: str) -> str:
    """Return a new bearer key of a client account or operator.

    Parameters
    ----------
    name : str
        Name of the client account or operator.

    Returns
    -------
    str
        The key, ``NAME.SECRET``.
    """
    return f"{name}.{secrets.token_urlsafe(SECRET_BYTES)}"


def split_key(key: str) -> tuple[str, str]:
    """Return the name and the secret of a bearer key.

    Parameters
    ----------
    key : str
        The key, ``NAME.SECRET``.

    Returns
    -------
    name : str
        Name of the client account; empty if the key is malformed.
    secret : str
        The secret.

    Examples
    --------
    >>> split_key("summit.ski.abc")
    ('summit.ski', 'abc')
    """
    name, _, secret = key.rpartition(".")
    return name, secret


def hash_key(secret: str, salt: bytes) -> bytes:
    """Return the salted hash of a secret.

    Parameters
    ----------
    secret : str
        Secret part of a bearer key.
    salt : bytes
        Salt, at most 64 bytes.

    Returns
    -------
    bytes
        Hash of 32 bytes.
    """
    data = secret.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(data, key=salt, digest_size=HASH_BYTES).digest()


def check_key(secret: str, salt: bytes, expected: bytes) -> bool:
    """Compare a secret with a stored hash in constant time.

    Parameters
    ----------
    secret : str
        Secret part of a bearer key.
    salt : bytes
        Stored salt.
    expected : bytes
        Stored hash.

    Returns
    -------
    bool
        Whether the secret is the one that was hashed.

    Examples
    --------
    >>> salt = make_salt()
    >>> check_key("abc", salt, hash_key("abc", salt))
    True
    """
    return hmac.compare_digest(hash_key(secret, salt), expected)
