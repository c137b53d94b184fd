"""Index of the prompt prefixes that backend servers have cached."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from ..schema import CacheEvent

__all__ = ["PrefixIndex"]

# Sequence number before the first event.
NO_SEQUENCE = -1

# Share of a server's blocks that may be wrong before all of them are dropped.
MAX_UNCERTAIN_SHARE = 0.1

# Default bound of the index over all backend servers, in blocks; it bounds the memory.
MAX_TOTAL_BLOCKS = 400_000


@attrs.define
class _ServerBlocks:
    """Cached blocks of one backend server, in least recently used order.

    `n_uncertain` estimates how many blocks may be wrong because of lost events. A lost
    event makes at most one block wrong. As later events replace blocks, the estimate
    decays with each event.
    """

    last_seq: int = NO_SEQUENCE
    n_uncertain: float = 0.0
    incarnation: int = 0
    blocks: OrderedDict[bytes, None] = attrs.field(factory=OrderedDict)


class PrefixIndex:
    """Cached blocks by backend server, from cache events and this router's dispatches.

    A gap in the sequence numbers of a backend server's events means lost events, each
    of which makes at most one block wrong. All blocks of the server are dropped once
    more than a tenth of them may be wrong.

    Parameters
    ----------
    max_blocks : int
        Greatest number of blocks for one backend server.
    max_total : int
        Greatest number of blocks for all backend servers, divided equally among them.
    """

    def __init__(self, max_blocks: int, max_total: int = MAX_TOTAL_BLOCKS) -> None:
        self._max_blocks = max_blocks
        self._max_total = max_total
        self._servers: dict[str, _ServerBlocks] = {}

    def find_sequence(self, host: str) -> int:
        """Return the sequence number after which events must be fetched.

        Parameters
        ----------
        host : str
            Name of the backend server.

        Returns
        -------
        int
            Sequence number of the last applied event; 0 before the first.
        """
        cache = self._servers.get(host)
        if cache is None:
            return 0
        return max(cache.last_seq, 0)

    def count_blocks(self, host: str) -> int:
        """Return the number of blocks indexed for a backend server.

        Parameters
        ----------
        host : str
            Name of the backend server.

        Returns
        -------
        int
            The number of blocks.
        """
        cache = self._servers.get(host)
        return len(cache.blocks) if cache is not None else 0

    def note_incarnation(self, host: str, incarnation: int) -> bool:
        """Drop a backend server's blocks if it restarted.

        Parameters
        ----------
        host : str
            Name of the backend server.
        incarnation : int
            Incarnation from its events reply; a restart changes it.

        Returns
        -------
        bool
            Whether it restarted; its events must then be fetched from the first.
        """
        cache = self._servers.setdefault(host, _ServerBlocks())
        is_restart = cache.incarnation not in (0, incarnation)
        if is_restart:
            cache = self._servers[host] = _ServerBlocks()
        cache.incarnation = incarnation
        return is_restart

    def apply(self, host: str, events: tuple[CacheEvent, ...]) -> bool:
        """Apply cache events of a backend server.

        Parameters
        ----------
        host : str
            Name of the backend server.
        events : tuple of CacheEvent
            The events in order; those applied before are ignored.

        Returns
        -------
        bool
            False if lost events caused the server's blocks to be dropped.
        """
        cache = self._servers.setdefault(host, _ServerBlocks())
        is_retained = True
        for event in events:
            if event.seq <= cache.last_seq:
                continue
            if cache.last_seq != NO_SEQUENCE:
                is_retained &= self._note_gap(cache, event.seq - cache.last_seq - 1)
            cache.last_seq = event.seq
            self._apply_event(cache, event)
        return is_retained

    def add_prompt(self, host: str, block_hashes: tuple[bytes, ...]) -> None:
        """Add the blocks of a prompt that was dispatched to a backend server.

        The blocks are added last to first, so that the leading blocks, which other
        prompts are more likely to share, are evicted last.

        Parameters
        ----------
        host : str
            Name of the backend server.
        block_hashes : tuple of bytes
            Chained hashes of the prompt's blocks.
        """
        cache = self._servers.setdefault(host, _ServerBlocks())
        for block in reversed(block_hashes):
            self._store(cache, block)

    def drop(self, host: str) -> None:
        """Remove a backend server from the index, for example after a failure.

        Parameters
        ----------
        host : str
            Name of the backend server.
        """
        self._servers.pop(host, None)

    def count_cached(self, host: str, block_hashes: tuple[bytes, ...]) -> int:
        """Return how many leading blocks of a prompt a backend server has cached.

        Parameters
        ----------
        host : str
            Name of the backend server.
        block_hashes : tuple of bytes
            Chained hashes of the prompt's blocks.

        Returns
        -------
        int
            The number of blocks.
        """
        cache = self._servers.get(host)
        if cache is None:
            return 0
        n_cached = 0
        for block in block_hashes:
            if block not in cache.blocks:
                break
            n_cached += 1
        return n_cached

    def _note_gap(self, cache: _ServerBlocks, n_lost: int) -> bool:
        """Count lost events; return False if they caused the blocks to be dropped."""
        cache.n_uncertain -= cache.n_uncertain / max(1, len(cache.blocks))
        cache.n_uncertain += n_lost
        if cache.n_uncertain <= MAX_UNCERTAIN_SHARE * len(cache.blocks) or n_lost == 0:
            return True
        cache.blocks.clear()
        cache.n_uncertain = 0.0
        return False

    def _apply_event(self, cache: _ServerBlocks, event: CacheEvent) -> None:
        """Store or evict the block of an event; a malformed block is ignored."""
        try:
            block = bytes.fromhex(event.block)
        except ValueError:
            return
        if event.kind == "evicted":
            cache.blocks.pop(block, None)
            return
        self._store(cache, block)

    def _store(self, cache: _ServerBlocks, block: bytes) -> None:
        """Add a block as the most recently used, and evict blocks above the limit."""
        cache.blocks[block] = None
        cache.blocks.move_to_end(block)
        share = self._max_total // len(self._servers)
        limit = max(1, min(self._max_blocks, share))
        while len(cache.blocks) > limit:
            cache.blocks.popitem(last=False)
