"""Sign-in, sessions and what protects them."""

from lagoontide.deployments import hash_token
from lagoontide.operators.app import OperatorsApp, send_json
from lagoontide.operators.sessions import COOKIE, SESSION_S, Sessions
from lagoontide.operators.signin import mount_sign_in
from tests.support.browser import Browser

TOKENS = {hash_token("secret-of-ada"): "ada", hash_token("secret-of-bo"): "bo"}


def make_app(tokens=TOKENS, secret="s" * 32):
    app = OperatorsApp(tokens, secret)
    app.mount("/who", lambda req: send_json(req.operator))
    mount_sign_in(app)
    return app


def test_a_page_sends_to_the_sign_in_and_back():
    browser = Browser(make_app())
    answer = browser.get("/who")
    assert answer.status == 303
    assert answer.headers["Location"] == "/sign-in?next=/who"
    assert 'value="/who"' in browser.get("/sign-in?next=/who").text
    answer = browser.sign_in("secret-of-ada", next="/who")
    assert answer.headers["Location"] == "/who"
    cookie = answer.headers["Set-Cookie"]
    assert "HttpOnly" in cookie and "SameSite=Strict" in cookie
    assert browser.get("/who").text == '"ada"'


def test_a_wrong_token_stays_outside():
    browser = Browser(make_app())
    assert browser.sign_in("secret").status == 401
    assert browser.get("/who").status == 303


def test_any_entry_takes_the_cookie_and_only_with_its_key():
    browser = Browser(make_app())
    browser.sign_in("secret-of-ada")
    assert browser.move(make_app()).get("/who").status == 200
    assert browser.move(make_app(secret="t" * 32)).get("/who").status == 303


def test_taking_the_token_away_ends_its_sessions():
    browser = Browser(make_app())
    browser.sign_in("secret-of-ada")
    left = {digest: name for digest, name in TOKENS.items() if name == "bo"}
    assert browser.move(make_app(left)).get("/who").status == 303


def test_a_changed_or_old_cookie_is_no_session():
    clock = [1000.0]
    sessions = Sessions(TOKENS, "s" * 32, lambda: clock[0])
    value = sessions.open("secret-of-ada")
    assert sessions.read(f"{COOKIE}={value}").operator == "ada"
    name, end, mark = value.split(".")
    forged = [
        f"bo.{end}.{mark}",
        f"{name}.{int(end) + 1}.{mark}",
        f"{name}.{end}.{mark[:-1]}",
        f"{name}.{end}.",
        "..",
        "",
        f"{name}.²³.{mark}",
    ]
    assert [sessions.read(f"{COOKIE}={text}") for text in forged] == [None] * 7
    clock[0] += SESSION_S
    assert sessions.read(f"{COOKIE}={value}") is None


def test_a_form_needs_the_mark_of_its_own_session():
    app = make_app()
    ada, bo = Browser(app), Browser(app)
    ada.sign_in("secret-of-ada")
    bo.sign_in("secret-of-bo")
    mark = ada.read_csrf()
    assert ada.post("/who").status == 403
    assert bo.post("/who", csrf=mark).status == 403
    assert ada.post("/who", csrf=mark).status == 200
    answer = ada.post("/who", csrf=mark, headers={"HTTP_ORIGIN": "http://evil.test"})
    assert answer.status == 403


def test_a_bearer_token_needs_no_mark():
    browser = Browser(make_app())
    headers = {"HTTP_AUTHORIZATION": "Bearer secret-of-ada", "HTTP_ACCEPT": "*/*"}
    assert browser.post("/who", headers=headers).status == 200
    headers["HTTP_AUTHORIZATION"] = "Bearer wrong"
    assert browser.post("/who", headers=headers).status == 401


def test_the_sign_in_leads_to_this_site_only():
    for target in ("//evil.test", "http://evil.test", "/\\evil.test", "/a\r\nX: y"):
        answer = Browser(make_app()).sign_in("secret-of-ada", next=target)
        assert answer.headers["Location"] == "/"


def test_what_was_typed_is_escaped():
    page = Browser(make_app()).get("/sign-in?next=/%22%3E%3Cscript%3E")
    assert "<script" not in page.text
    assert "default-src 'none'" in page.headers["Content-Security-Policy"]


def test_a_body_that_is_too_long_is_refused_not_cut():
    browser = Browser(make_app())
    browser.sign_in("secret-of-ada")
    assert browser.post("/who", csrf="x" * (5 << 20)).status == 413
