"""HTTP client of the operator API, used by the command line."""

from __future__ import annotations

import json
from typing import Any

from ..configuration import Configuration, fold_changes
from ..http import HttpCall, HttpClient, HttpError
from ..schema import ConfigurationInForce
from ..schema.codec import decode_as

__all__ = ["OperatorClient", "OperatorError"]

REPLY_TIMEOUT_S = 30.0


class OperatorError(Exception):
    """Raised if a router refuses a request or does not respond.

    Parameters
    ----------
    text : str
        Error message for the operator.
    code : str
        Label of the result code; empty if the router did not respond.
    """

    def __init__(self, text: str, code: str = "") -> None:
        super().__init__(text)
        self.code = code


class OperatorClient:
    """Sends requests to the operator listener of one router.

    Parameters
    ----------
    address : str
        IP address and port of the router's operator listener.
    operator_key : str
        Bearer key that authorizes operators.
    """

    def __init__(self, address: str, operator_key: str) -> None:
        self._address = address
        self._headers = (("authorization", f"Bearer {operator_key}"),)
        self._client = HttpClient()

    async def get(self, target: str) -> dict[str, Any]:
        """Send a GET request and return the decoded JSON response.

        Parameters
        ----------
        target : str
            Request target.

        Returns
        -------
        dict
            The decoded response.

        Raises
        ------
        OperatorError
            If the router refuses the request or does not respond.
        """
        return _decode_json(await self._call("GET", target, b""))

    async def post(self, target: str, body: bytes) -> dict[str, Any]:
        """Send a POST request and return the decoded JSON response.

        Parameters
        ----------
        target : str
            Request target.
        body : bytes
            Request body.

        Returns
        -------
        dict
            The decoded response.

        Raises
        ------
        OperatorError
            If the router refuses the request or does not respond.
        """
        return _decode_json(await self._call("POST", target, body))

    async def get_configuration(self) -> Configuration:
        """Return the configuration in force at the router.

        Returns
        -------
        Configuration
            The configuration.

        Raises
        ------
        OperatorError
            If the router refuses the request or does not respond.
        """
        response = await self._call("GET", "/configuration", b"")
        in_force = decode_as(response, ConfigurationInForce)
        return fold_changes(in_force.version, in_force.changes)

    async def _call(self, method: str, target: str, body: bytes) -> bytes:
        call = HttpCall(
            self._address,
            method,
            target,
            self._headers,
            body,
            timeout_s=REPLY_TIMEOUT_S,
        )
        try:
            status, response = await self._client.fetch(call)
        except HttpError as error:
            text = f"router {self._address} did not respond: {error}"
            raise OperatorError(text) from error
        finally:
            self._client.close()
        if status >= 400:
            content = _decode_json(response)
            text = f"{content['code']}: {content['meaning']} {content['detail']}"
            raise OperatorError(text.strip(), str(content["code"]))
        return response


def _decode_json(response: bytes) -> dict[str, Any]:
    content: dict[str, Any] = json.loads(response)
    return content
