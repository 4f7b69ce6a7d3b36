"""Client of the operators' port, for the command line."""

from typing import Any

import msgspec
import urllib3

from lagoontide.errors import PeerError, RequestRejected

__all__ = ["OperatorsClient", "Refusal"]

TIMEOUT_S = 10.0
FIRST_ERROR_STATUS = 400


class Refusal(RequestRejected):
    """An entry refused an operator's request.

    Attributes
    ----------
    answer : dict
        The JSON object that came with it; empty if there was none.
    """

    def __init__(self, status: int, text: str, *, step: str, peer: str) -> None:
        self.answer = _read_object(text)
        detail = self.answer.get("detail", text)
        super().__init__(status, str(detail), step=step, peer=peer)


class OperatorsClient:
    """Asks an entry on behalf of an operator.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the entry's operators' port.
    token : str
        The operator's bearer token.
    """

    def __init__(self, address: str, token: str) -> None:
        self._address = address
        self._headers = {"Authorization": f"Bearer {token}"}
        self._http = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)

    def ask(self, method: str, path: str, value: Any = None) -> Any:
        """Send a JSON value and return the JSON value that comes back.

        Raises
        ------
        PeerError
            If the entry cannot be reached.
        Refusal
            If it refuses.
        """
        body = None if value is None else msgspec.json.encode(value)
        url = f"http://{self._address}{path}"
        try:
            response = self._http.request(method, url, body=body, headers=self._headers)
        except urllib3.exceptions.HTTPError as exc:
            raise PeerError(
                f"cannot reach the entry: {exc}", step=path, peer=self._address
            ) from exc
        if response.status >= FIRST_ERROR_STATUS:
            text = response.data.decode("utf-8", "replace")
            raise Refusal(response.status, text, step=path, peer=self._address)
        return msgspec.json.decode(response.data)


def _read_object(text: str) -> dict[str, Any]:
    try:
        return msgspec.json.decode(text, type=dict[str, Any])
    except (msgspec.DecodeError, RecursionError):
        return {}
