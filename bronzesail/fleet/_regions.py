"""Time since any router of the own region last had contact with each other region."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..schema import RegionAge

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["RegionContacts"]


class RegionContacts:
    """Last contact with each other region.

    Distinguishes a region that is cut off from one whose routers died one by one.

    Parameters
    ----------
    own_region : str
        Region of the router itself.
    cut_after_s : float
        Time without contact after which a region counts as cut off, in seconds.
    """

    def __init__(self, own_region: str, cut_after_s: float) -> None:
        self._own_region = own_region
        self._cut_after_s = cut_after_s
        self._last_contact_at: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def note_region(self, region: str, now: float) -> None:
        """Register a region; an unknown one counts as contacted now."""
        if region != self._own_region:
            self._last_contact_at.setdefault(region, now)
            self._counts.setdefault(region, 0)

    def note_contact(self, region: str, now: float) -> None:
        """Record contact with a router of a region."""
        if region != self._own_region:
            self._last_contact_at[region] = now
            self._counts[region] = self._counts.get(region, 0) + 1

    def merge(self, ages: Iterable[RegionAge], now: float) -> None:
        """Merge the ages that another router of the own region sent.

        Only an age with a higher contact count is merged. Otherwise an age that returns
        to its sender over a cycle would appear younger by its time in transit.

        Parameters
        ----------
        ages : iterable of RegionAge
            Ages that were received.
        now : float
            Monotonic time, in seconds.
        """
        for item in ages:
            known = self._counts.get(item.region)
            if known is None or item.count <= known:
                continue
            self._counts[item.region] = item.count
            self._last_contact_at[item.region] = now - item.age_ms / 1000

    def list_ages(self, now: float) -> tuple[RegionAge, ...]:
        """Return the age and contact count of each region, to send to peers."""
        ages = []
        for region, last_contact_at in self._last_contact_at.items():
            age_ms = max(0, int((now - last_contact_at) * 1000))
            ages.append(RegionAge(region, age_ms, self._counts[region]))
        return tuple(ages)

    def shift(self, pause_s: float) -> None:
        """Exclude a pause of this router's own process from the ages."""
        for region in self._last_contact_at:
            self._last_contact_at[region] += pause_s

    def find_age_s(self, region: str, now: float) -> float:
        """Return the time since the last contact with a region, in seconds."""
        return now - self._last_contact_at.get(region, now)

    def list_cut(self, now: float) -> tuple[str, ...]:
        """Return the regions that are cut off."""
        cut = []
        for region in self._last_contact_at:
            if self.find_age_s(region, now) > self._cut_after_s:
                cut.append(region)
        return tuple(cut)
