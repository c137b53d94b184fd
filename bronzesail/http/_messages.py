"""Typed requests, limits and errors of the HTTP server and client."""

from __future__ import annotations

from urllib.parse import parse_qs, urlsplit

import attrs

__all__ = [
    "ClientLimits",
    "ExchangeBrokenError",
    "HttpCall",
    "HttpError",
    "HttpRequest",
    "NotSentError",
    "ServerLimits",
]

Headers = tuple[tuple[str, str], ...]


class HttpError(Exception):
    """Base of the client's errors."""


class NotSentError(HttpError):
    """Raised when no byte of the request left this process."""


class ExchangeBrokenError(HttpError):
    """Raised when the exchange failed after a byte may have been sent."""


@attrs.frozen
class ServerLimits:
    """Limits on what a sender may ask of the server.

    Attributes
    ----------
    header_bytes : int
        Greatest size of the request line and headers, in bytes.
    body_bytes : int
        Greatest size of a body, in bytes.
    header_timeout_s : float
        Time for the whole request line and headers, in seconds.
    body_timeout_s : float
        Time for the whole body, in seconds.
    idle_timeout_s : float
        Time a connection may wait for its next request, in seconds.
    write_timeout_s : float
        Time a reader may leave its receive buffer full, in seconds.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 10.0
    body_timeout_s: float = 30.0
    idle_timeout_s: float = 75.0
    write_timeout_s: float = 30.0


@attrs.frozen
class ClientLimits:
    """Limits on the client's connections.

    Attributes
    ----------
    connect_timeout_s : float
        Time to open a connection, in seconds.
    response_timeout_s : float
        Time until the response's headers, in seconds.
    idle_age_s : float
        Time after which an idle pooled connection is closed, in seconds.
    idle_per_address : int
        Greatest number of idle pooled connections to one address.
    body_bytes : int
        Greatest size of a response body that is read whole, in bytes.
    """

    connect_timeout_s: float = 2.0
    response_timeout_s: float = 30.0
    idle_age_s: float = 15.0
    idle_per_address: int = 8
    body_bytes: int = 64 * 1024 * 1024


@attrs.frozen
class HttpRequest:
    """Whole request that the server received.

    Attributes
    ----------
    method : str
        Method in capitals.
    target : str
        Request target as sent.
    headers : tuple of (str, str)
        Names in lower case, and values.
    body : bytes
        Whole body.
    """

    method: str
    target: str
    headers: Headers
    body: bytes

    @property
    def path(self) -> str:
        """Target without its query."""
        return urlsplit(self.target).path

    def find_header(self, name: str, default: str = "") -> str:
        """Return the first header of a lower-case name.

        Parameters
        ----------
        name : str
            Name in lower case.
        default : str
            Value returned if there is none.

        Returns
        -------
        str
            The header's value.
        """
        for header, value in self.headers:
            if header == name:
                return value
        return default

    def find_query(self, name: str, default: str = "") -> str:
        """Return the first query parameter of a name.

        Parameters
        ----------
        name : str
            Name of the parameter.
        default : str
            Value returned if there is none.

        Returns
        -------
        str
            The parameter's value.
        """
        values = parse_qs(urlsplit(self.target).query).get(name)
        return values[0] if values else default


@attrs.frozen
class HttpCall:
    """Request that the client sends.

    Attributes
    ----------
    address : str
        IP address and port, joined by a colon.
    method : str
        Method in capitals.
    target : str
        Request target.
    headers : tuple of (str, str)
        Headers besides host and content length.
    body : bytes
        Whole body.
    is_fresh : bool
        Whether a new connection is used even if a pooled one is idle.
    timeout_s : float
        Time until the response's headers, in seconds; 0 for the client's limit.
    """

    address: str
    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""
    is_fresh: bool = False
    timeout_s: float = 0.0
