"""Bad input at the callers' port: a clear error, nothing lost, and it goes on."""

import socket
from types import SimpleNamespace

import msgspec
import pytest

from lagoontide.entry.http import make_app
from lagoontide.httpd import HttpServer, split_address
from tests.support.running import Running

ROUTE = "reseller-query"
ACCOUNT = "reseller-metro"
MAX_BODY = 1 << 20
MAX_HEADER = 16 << 10
SOCKET_TIMEOUT_S = 30.0
SILENCE_S = 0.1


@pytest.fixture(scope="module")
def running():
    deployment = Running("swanreach")
    yield deployment
    deployment.stop()


@pytest.fixture
def sample(running, request):
    return running.make_sample_request(ACCOUNT, ROUTE, request.node.name)


def _post(running, body, route=ROUTE, **headers):
    head = {"Authorization": f"Bearer demo-{ACCOUNT}"} | headers
    return running.http.request("POST", running.url(route), body=body, headers=head)


def _check_problem(response, status, *words):
    assert response.status == status, response.data
    assert response.headers["Content-Type"] == "application/problem+json"
    problem = msgspec.json.decode(response.data)
    assert problem["outcome"] == "not_run"
    assert problem["status"] == status
    for word in words:
        assert word in problem["detail"]


@pytest.mark.parametrize(
    "body",
    [b"", b"{", b"[]", b"null", b'"text"', b"\xff\xfe", b'{"a": 1}}', b"[" * 5000],
)
def test_a_body_that_is_no_json_object(running, body):
    _check_problem(_post(running, body), 400, "no JSON object")


def test_a_body_without_a_needed_field(running):
    _check_problem(_post(running, b'{"other": 1}'), 422, "'question'")


def test_an_unknown_route(running):
    _check_problem(_post(running, b"{}", route="no-such"), 404, "'no-such'")


@pytest.mark.parametrize("header", ["", "Bearer", "Bearer wrong", "Basic abc"])
def test_a_wrong_token(running, header):
    response = _post(running, b"{}", Authorization=header)
    _check_problem(response, 401, "token")


def test_a_route_that_the_account_may_not_use(running):
    response = _post(running, b'{"reference": "r", "symptom": "s"}', "bench-ticket")
    assert response.status == 200
    response = _post(
        running,
        b'{"reference": "r", "symptom": "s"}',
        "bench-ticket",
        Authorization="Bearer demo-state-offices",
    )
    _check_problem(response, 403, "'bench-ticket'")


@pytest.mark.parametrize("value", ["0", "-1", "nan", "inf", "1e9", "soon", ""])
def test_an_absurd_timeout(running, value):
    response = _post(running, b'{"question": "q"}', **{"Request-Timeout": value})
    _check_problem(response, 400, "Request-Timeout")


def test_an_unknown_priority(running):
    response = _post(running, b'{"question": "q"}', Priority="urgent")
    _check_problem(response, 400, "'urgent'")


def test_a_priority_that_the_account_may_not_use(running):
    response = _post(
        running,
        b'{"question": "q"}',
        Priority="low",
        Authorization="Bearer demo-state-offices",
    )
    _check_problem(response, 403, "'low'")


@pytest.mark.parametrize("key", ["", "a b", "x" * 129, "a/b"])
def test_a_bad_idempotency_key(running, key):
    response = _post(running, b'{"question": "q"}', **{"Idempotency-Key": key})
    _check_problem(response, 400, "Idempotency-Key")


def test_a_body_over_the_limit(running):
    body = b'{"question": "' + b"x" * MAX_BODY + b'"}'
    _check_problem(_post(running, body), 413, str(MAX_BODY))


def test_the_wrong_method(running):
    response = running.http.request("GET", running.url(ROUTE))
    _check_problem(response, 405, "POST")


def _talk(running, *parts):
    """Send raw bytes and return all that comes back until the port closes."""
    address = split_address(running.local.entries[0].http.address)
    with socket.create_connection(address, timeout=SOCKET_TIMEOUT_S) as sock:
        for part in parts:
            sock.sendall(part)
        sock.shutdown(socket.SHUT_WR)
        return b"".join(iter(lambda: sock.recv(65536), b""))


def test_a_header_over_the_limit_is_refused(running):
    # Little over the limit, so that the port has read it all when it closes.
    head = b"GET /livez HTTP/1.1\r\nHost: x\r\nX-Long: " + b"x" * MAX_HEADER
    assert b" 413 " in _talk(running, head + b"\r\n\r\n").splitlines()[0]


@pytest.mark.parametrize("length", [b"abc", b"-5", b"1e3"])
def test_a_content_length_that_is_no_number(running, length):
    head = b"POST /v1/routes/reseller-query HTTP/1.1\r\nHost: x\r\n"
    answer = _talk(running, head + b"Content-Length: " + length + b"\r\n\r\n{}")
    assert answer.split(b" ")[1].startswith(b"4"), answer


def test_a_body_that_stops_midway_is_not_run(running):
    head = (
        b"POST /v1/routes/reseller-query HTTP/1.1\r\nHost: x\r\n"
        b"Authorization: Bearer demo-reseller-metro\r\nContent-Length: 100\r\n\r\n"
    )
    answer = _talk(running, head + b'{"question": "q"}')
    assert answer.split(b" ")[1].startswith(b"4"), answer


def test_a_body_that_does_not_come_is_not_run():
    app = make_app(SimpleNamespace(is_leaving=False), None, MAX_BODY)
    server = HttpServer("127.0.0.1:0", app, threads=1, timeout=SILENCE_S)
    server.start()
    head = b"POST /v1/routes/any HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{"
    with socket.create_connection(split_address(server.address)) as sock:
        sock.settimeout(SOCKET_TIMEOUT_S)
        sock.sendall(head)
        answer = sock.recv(65536)
    server.stop()
    assert answer.startswith(b"HTTP/1.1 408 "), answer


def test_a_refusal_leaves_the_connection_usable(running, sample):
    for _ in range(3):
        assert _post(running, b'{"question": 1}', route="no-such").status == 404
        response = running.ask(sample)
        assert response.status == 200
        assert msgspec.json.decode(response.data) == running.wanted(sample)


def test_a_refusal_leaves_nothing_behind(running, sample):
    """After all of the above the port still gives whole answers."""
    response = running.ask(sample)
    assert msgspec.json.decode(response.data) == running.wanted(sample)


@pytest.mark.parametrize("path", ["/livez", "/readyz"])
def test_health(running, path):
    address = running.local.entries[0].http.address
    assert running.http.request("GET", f"http://{address}{path}").status == 200


@pytest.mark.parametrize("question", [b"7", b'""', b"[]", b"null", b'{"a": 1}'])
def test_an_input_that_a_stage_cannot_use(running, question):
    """One target says so and no other is asked."""
    before = _count_calls(running, "encoders")
    response = _post(running, b'{"question": ' + question + b"}")
    problem = msgspec.json.decode(response.data)
    assert problem["outcome"] == "not_run"
    assert problem["step"] == "embed"
    assert "text is" in problem["detail"]
    assert problem["peer"].startswith("encoders-")
    assert _count_calls(running, "encoders") == before + 1


def _count_calls(running, service):
    agents = running.local.agents.values()
    return sum(len(x._log) for x in agents if x.service == service)
