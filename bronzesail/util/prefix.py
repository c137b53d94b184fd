"""Chained hashes of a prompt's blocks, as model engines name cached blocks."""

from __future__ import annotations

import hashlib

__all__ = ["BLOCK_BYTES", "BLOCK_TOKENS", "TOKEN_BYTES", "count_tokens", "hash_blocks"]

TOKEN_BYTES = 4
BLOCK_BYTES = 64
BLOCK_TOKENS = BLOCK_BYTES // TOKEN_BYTES
DIGEST_BYTES = 8


def count_tokens(prompt: bytes) -> int:
    """Return the number of tokens of a prompt.

    Parameters
    ----------
    prompt : bytes
        Prompt in UTF-8.

    Returns
    -------
    int
        One token for each started group of four bytes.

    Examples
    --------
    >>> count_tokens(b"12345")
    2
    """
    return -(-len(prompt) // TOKEN_BYTES)


def hash_blocks(prompt: bytes) -> tuple[bytes, ...]:
    """Return the chained hash of each whole block of a prompt.

    Parameters
    ----------
    prompt : bytes
        The prompt.

    Returns
    -------
    tuple of bytes
        One digest a block; equal digests mean equal prompts up to the block's end.

    Examples
    --------
    >>> one, two = hash_blocks(b"a" * 128)
    >>> hash_blocks(b"a" * 100) == (one,)
    True
    >>> one == two
    False
    """
    digests = []
    digest = b""
    n_whole = len(prompt) // BLOCK_BYTES
    for index in range(n_whole):
        block = prompt[index * BLOCK_BYTES : (index + 1) * BLOCK_BYTES]
        digest = hashlib.blake2b(digest + block, digest_size=DIGEST_BYTES).digest()
        digests.append(digest)
    return tuple(digests)
