"""Query backend servers for the token usage of a failed router's requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..http import HttpError
from ._engine import EngineClient
from ._ids import derive_request_id

if TYPE_CHECKING:
    from ..budget import DispatchRecord
    from ..configuration import ConfigurationView
    from ..fleet import Membership
    from ..http import HttpClient
    from ._interfaces import RequestSettings

__all__ = ["UsageClient"]


class UsageClient:
    """Finds token usage over the engine protocol, fencing requests that never started.

    Parameters
    ----------
    client : HttpClient
        HTTP client for calls to engines.
    membership : Membership
        Provides the addresses of backend servers.
    configuration : ConfigurationView
        Provides the kind of each service.
    settings : RequestSettings
        Fleet secret and probe timeout.
    """

    def __init__(
        self,
        client: HttpClient,
        membership: Membership,
        configuration: ConfigurationView,
        settings: RequestSettings,
    ) -> None:
        self._engine = EngineClient(client, settings.probe_timeout_s)
        self._membership = membership
        self._configuration = configuration
        self._settings = settings

    async def find_usage(self, record: DispatchRecord) -> int | None:
        """Return the tokens that a request used, once it has ended.

        Parameters
        ----------
        record : DispatchRecord
            Open journal record of a failed router.

        Returns
        -------
        int or None
            Tokens used, limited to the reservation; 0 if the engine never received
            the request and confirmed the fence that prevents a later start; None if
            the usage cannot be determined yet.
        """
        service = self._configuration.current.services.get(record.service)
        if service is None or service.kind != "model":
            return None
        address = self._find_address(record)
        if not address:
            return None
        secret = self._settings.fleet_secret
        request_id = derive_request_id(secret, record.account, record.request_key)
        try:
            state = await self._engine.probe(address, request_id)
            if state is not None and state.state == "unknown":
                state = await self._engine.fence(address, request_id)
                if state is not None and state.state in ("", "unknown", "fenced"):
                    return 0
        except HttpError:
            return None
        if state is None or state.state not in ("done", "cancelled"):
            return None
        return min(state.usage.total_tokens, record.amount_tokens)

    def _find_address(self, record: DispatchRecord) -> str:
        for entry in self._membership.list_backends(record.service):
            if entry.host == record.backend_server:
                return entry.address
        return ""
