"""Tests of account rate limits that apply across several entries."""

import pytest
from hypothesis import given, settings, strategies as st

from lagoontide.admission.accounts import Accounts
from lagoontide.deployments import load_deployment
from lagoontide.errors import RequestRejected

DOCUMENT = load_deployment("swanreach")
ACCOUNT = DOCUMENT.accounts["school-bursars"]
ROUTE = DOCUMENT.routes["reseller-query"]


def admit(accounts, now):
    try:
        accounts.admit(ACCOUNT, ROUTE, ACCOUNT.priorities[0], now)
    except RequestRejected as exc:
        assert exc.status == 429 and exc.retry_after > 0
        return False
    return True


@settings(derandomize=True, deadline=None, max_examples=30)
@given(st.integers(1, 8), st.integers(1, 20))
def test_entries_together_grant_the_rate_and_the_burst(entries, seconds):
    group = [Accounts(lambda: entries) for _ in range(entries)]
    for accounts in group:
        accounts.update(DOCUMENT)
    per_second = 3 * ACCOUNT.requests_per_second
    granted = sum(
        admit(group[number % entries], number / per_second)
        for number in range(int(seconds * per_second))
    )
    limit = ACCOUNT.requests_per_second * seconds + ACCOUNT.burst
    assert granted <= limit + entries
    assert granted >= 0.95 * ACCOUNT.requests_per_second * seconds


def test_a_new_entry_reduces_the_limit_of_the_others():
    count = [1]
    accounts = Accounts(lambda: count[0])
    accounts.update(DOCUMENT)
    while admit(accounts, 0.0):
        pass
    count[0] = 4
    full_rate = ACCOUNT.requests_per_second
    granted = sum(admit(accounts, number / (2 * full_rate)) for number in range(400))
    wanted = full_rate / 4 * 400 / (2 * full_rate)
    assert abs(granted - wanted) <= 2


def test_a_request_to_a_forbidden_route_takes_no_token():
    accounts = Accounts(lambda: 1)
    accounts.update(DOCUMENT)
    with pytest.raises(RequestRejected, match="may not use route"):
        other = DOCUMENT.routes["bench-ticket"]
        accounts.admit(ACCOUNT, other, ACCOUNT.priorities[0], 0.0)
    assert sum(admit(accounts, 0.0) for _ in range(100)) == ACCOUNT.burst
