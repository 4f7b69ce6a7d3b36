"""The door of an entry: what a caller's request has to pass before it runs."""

import contextlib
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from lagoontide.admission.accounts import Accounts
from lagoontide.admission.shedding import (
    AccountUsage,
    AdmissionRequest,
    effective_priority,
    find_retry_after,
    should_shed,
)
from lagoontide.configuration.document import Account, Document, Priority, Route
from lagoontide.configuration.holder import Holder
from lagoontide.dispatch.caller import Dispatcher
from lagoontide.dispatch.tokens import OnTokens
from lagoontide.errors import RequestRejected
from lagoontide.pipeline.slack import find_pace
from lagoontide.pipeline.walk import Fields, Request, check_body

__all__ = ["CallerRequest", "Door"]

STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503
RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as it came over HTTP.

    Attributes
    ----------
    timeout : float or None
        Seconds the caller waits, from ``Request-Timeout``.
    """

    route: str
    token: str
    body: bytes
    timeout: float | None = None
    priority: Priority | None = None
    key: str = ""


class Door:
    """Checks and admits requests; what it refuses has not run.

    Parameters
    ----------
    sheds : bool
        Whether requests for which there is no time are refused.

    Attributes
    ----------
    confirmed_age : callable
        Tells the seconds since the store confirmed the version in force.
    """

    def __init__(self, holder: Holder, dispatcher: Dispatcher, sheds: bool) -> None:
        self.confirmed_age: Callable[[], float] = lambda: 0.0
        self._holder = holder
        self._dispatcher = dispatcher
        self._sheds = sheds
        self._accounts = Accounts(dispatcher.count_entries)
        self._account_usage = AccountUsage()
        holder.subscribe(self._accounts.update)

    def find_account(self, token: str) -> str:
        """Return the account of a token, or an empty string."""
        with contextlib.suppress(RequestRejected):
            return self._accounts.authenticate(token).name
        return ""

    def accept(
        self,
        call: CallerRequest,
        request_id: str,
        now: float,
        on_tokens: OnTokens | None,
    ) -> Request:
        """Return the request to run, or raise RequestRejected if it is refused.

        Parameters
        ----------
        now : float
            Loop time of its arrival.
        """
        if not self._holder.is_ready:
            raise RequestRejected(
                STATUS_UNAVAILABLE,
                "no configuration is in force yet",
                step="admission",
                retry_after=RETRY_AFTER_S,
            )
        document: Document = self._holder.document
        account = self._accounts.authenticate(call.token)
        route = document.routes.get(call.route)
        if route is None:
            raise RequestRejected(STATUS_NOT_FOUND, f"no route {call.route!r}")
        self._check_cut_off(document, route)
        body = _parse_body(call.body)
        check_body(route, body)
        priority = call.priority or route.priority
        self._accounts.admit(account, route, priority, now)
        budget = min(route.deadline, call.timeout or route.deadline)
        if self._sheds:
            priority = self._shed(account, route, priority, budget, now)
        return Request(
            request_id, route, account, priority, now + budget, body, on_tokens
        )

    def _check_cut_off(self, document: Document, route: Route) -> None:
        """Raise RequestRejected 503 if the policies keep a route from being served."""
        age = self.confirmed_age()
        if not document.policies.allows(route, age):
            raise RequestRejected(
                STATUS_UNAVAILABLE,
                f"no word of the store for {age:.0f} s; the policies keep route "
                f"{route.name!r} from being served",
                step="admission",
                retry_after=RETRY_AFTER_S,
            )

    def _shed(
        self,
        account: Account,
        route: Route,
        priority: Priority,
        budget: float,
        now: float,
    ) -> Priority:
        """Return the priority to serve a request with.

        Raises
        ------
        RequestRejected
            503, if there is no time for it.
        """
        pace = self._dispatcher.tail.pace
        work = sum(find_pace(pace, stage).ran.value for stage in route.stages)
        services = {stage.service for stage in route.stages}
        wait = sum(map(self._dispatcher.expected_wait, services))
        use = self._account_usage.usage_ratio(account.name, now) if wait else 0.0
        admission_request = AdmissionRequest(priority, work, wait, budget, use)
        if should_shed(admission_request):
            raise RequestRejected(
                STATUS_UNAVAILABLE,
                f"overloaded: {wait:.3f} s to wait",
                step="admission",
                retry_after=find_retry_after(admission_request),
            )
        self._account_usage.record(account.name, account.weight, work, now)
        return effective_priority(admission_request)


def _parse_body(body: bytes) -> Fields:
    try:
        return msgspec.json.decode(body, type=Fields)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise RequestRejected(
            STATUS_BAD_REQUEST, f"the body is no JSON object: {exc}", step="body"
        ) from None
