"""Configuration state, the result of folding the version log."""

from __future__ import annotations

import attrs

from ..schema import ClientAccount, Deployment, PriorityClass, Region, ServiceEntry

__all__ = ["Configuration"]


def _make_default_deployment() -> Deployment:
    return Deployment(name="default")


@attrs.frozen
class Configuration:
    """All entities of the configuration at one version.

    Attributes
    ----------
    version : int
        Version of the last log entry applied; 0 if there is none.
    deployment : Deployment
        Settings of the whole deployment.
    services : dict of str to ServiceEntry
        Services by name.
    classes : dict of str to PriorityClass
        Priority classes by name.
    accounts : dict of str to ClientAccount
        Client accounts by name.
    regions : dict of str to Region
        Regions by name.
    """

    version: int = 0
    deployment: Deployment = attrs.field(factory=_make_default_deployment)
    services: dict[str, ServiceEntry] = attrs.field(factory=dict)
    classes: dict[str, PriorityClass] = attrs.field(factory=dict)
    accounts: dict[str, ClientAccount] = attrs.field(factory=dict)
    regions: dict[str, Region] = attrs.field(factory=dict)
