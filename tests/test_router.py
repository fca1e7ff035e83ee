"""The real program on real sockets: what clients, caches and the change log see of it."""

from __future__ import annotations

import contextlib
import json
import signal
import socket
import struct
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from fake_cache import FakeCache, ReceivedCommand, resp_array
from fake_change_log import FakeChangeLog
from fastcgi_client import ClientResponse, FastCgiClient, fastcgi_record, name_value_pair
from router_harness import SETTINGS, RouterHarness
from tcp_endpoints import UnresponsiveAddress
from waiting import TEST_TIMEOUT

from stonecove import exchange
from stonecove.ground.clock import Clock
from stonecove.ground.log import divert
from stonecove.ground.timers import Timers
from stonecove.memory.budget import Budget
from stonecove.memory.requests import OpenRequests
from stonecove.settings import settings_from
from stonecove.stages.admit import Admit
from stonecove.stages.route import Route
from stonecove.wire.channel import Channel, Owner
from stonecove.wire.fastcgi import OVERLOADED
from stonecove.wire.session import MOST_TURNED_AWAY

WRITE_REQUEST: dict[str, Any] = {"path": "/svc/confirm"}
REJECTED_STATUS, FAILED_STATUS = 503, 502


@pytest.fixture
def router() -> Iterator[RouterHarness]:
    running = RouterHarness()
    yield running
    assert running.process.poll() is None, "the router died"
    assert not running.log_lines("bug")
    running.close()


def is_rejection(response: ClientResponse) -> bool:
    return response.status == REJECTED_STATUS and int(response.headers["X-Throttle-Ms"]) > 0


# -- a request and its answer --


def test_a_request_passes_on_unchanged_and_comes_back_whole(router: RouterHarness) -> None:
    client, body = router.connect(), bytes(range(256)) * 900
    client.send_request(5, X_TXN="9b1f03aa5c7e2d41", X_ETAG='W/"4be0"')
    fetch = router.next_command()
    assert fetch.request_id == "9b1f03aa5c7e2d41" and fetch.body == b""
    assert 0 < int(fetch.fields.pop("limit")) <= 8000
    assert fetch.fields == {
        "cls": "image",
        "item": "7f3a9c21e0b4d655",
        "chunk": "3",
        "from": "s-00000020",
        "rank": "1",
        "mode": "wait-for",
        "seen": "4be0",
    }
    fetch.reply(body=body, meter="busy_reqs:7;x0:0.5")
    response = client.read_response()
    assert (response.request_id, response.status, response.body, response.protocol_status) == (
        5,
        200,
        body,
        0,
    )
    assert "X-Notmod" not in response.headers


def test_a_write_goes_to_the_origin_with_its_body(router: RouterHarness) -> None:
    client, body = router.connect(), b"\x00\r\n$*" * 9600
    client.send_request(body=body, **WRITE_REQUEST)
    fetch = router.next_command()
    assert fetch.body == body and fetch.fields["from"] == "s-00000030" and "rank" not in fetch.fields
    fetch.reply(tell="via_origin")
    assert client.read_response().status == 200


@pytest.mark.parametrize("size", [1, 7, 1000])
def test_records_may_be_split_anywhere(router: RouterHarness, size: int) -> None:
    client = router.connect()
    data = client.encode_request(7, body=b"x" * 300, padding=5, X_SEG="0", X_FILL="y" * 200, **WRITE_REQUEST)
    for at in range(0, len(data), size):
        client.sock.sendall(data[at : at + size])
    fetch = router.next_command()
    assert fetch.body == b"x" * 300
    reply = resp_array(fetch.request_id.encode(), b"200", b"tell=hit,ver=aa11,born=1796128466000", b"abc")
    for at in range(0, len(reply), size):
        fetch.sock.sendall(reply[at : at + size])
    assert client.read_response()[:2] == (7, 200)


def test_answers_come_in_any_order_and_a_long_one_holds_up_none(router: RouterHarness) -> None:
    client = router.connect()
    for ident in range(1, 33):
        client.send_request(ident, X_ROW=f"{ident:016x}")
    fetches = {int(fetch.fields["item"], 16): fetch for fetch in (router.next_command() for _ in range(32))}
    fetches[9].reply(body=bytes(240_000))
    for ident in sorted(fetches, reverse=True):
        if ident != 9:
            fetches[ident].reply(body=b"%d" % ident)
    bodies = {response.request_id: response.body for response in (client.read_response() for _ in range(32))}
    assert bodies.pop(9) == bytes(240_000)
    assert bodies == {ident: b"%d" % ident for ident in range(1, 33) if ident != 9}


def test_a_client_that_reads_nothing_holds_up_no_other(router: RouterHarness) -> None:
    slow, quick = router.connect(), router.connect()
    for ident in range(1, 33):
        slow.send_request(ident, X_ROW=f"{ident:016x}")
        router.next_command().reply(body=bytes(240_000))
    quick.send_request()
    router.next_command().reply(body=b"quick")
    assert quick.read_response().body == b"quick"


@pytest.mark.parametrize(
    "word, what, again",
    [
        ("404", {}, True),
        ("503", {}, True),
        ("504", {}, True),
        ("500", {}, True),
        ("404", WRITE_REQUEST, True),
        ("503", WRITE_REQUEST, True),
        ("500", WRITE_REQUEST, False),
    ],
)
def test_only_what_never_ran_or_does_no_harm_goes_out_again(
    router: RouterHarness, word: str, what: dict[str, Any], again: bool
) -> None:
    client = router.connect()
    client.send_request(**what)
    first = router.next_command()
    first.reply(word, tell="")
    if again:
        second = router.next_command()
        assert second.request_id == first.request_id and second.cache is not first.cache
        second.reply(body=b"ok")
        assert client.read_response().body == b"ok"
    else:
        assert client.read_response().status == FAILED_STATUS
        assert router.commands.empty()


@pytest.mark.parametrize("what, status", [({}, 200), (WRITE_REQUEST, FAILED_STATUS)])
def test_a_connection_that_breaks_may_have_run_what_was_on_it(
    router: RouterHarness, what: dict[str, Any], status: int
) -> None:
    client = router.connect()
    client.send_request(**what)
    fetch = router.next_command()
    fetch.sock.shutdown(2)
    if status == 200:
        router.next_command().reply()
    assert client.read_response().status == status
    assert router.commands.empty()


def test_a_refused_connection_proves_that_nothing_ran(router: RouterHarness) -> None:
    client = router.connect()
    client.send_request(**WRITE_REQUEST)
    home = router.next_command()
    home.reply()
    assert client.read_response().status == 200
    home.cache.listener.close()
    for _ in range(20):  # the old connection breaks first
        client.send_request(**WRITE_REQUEST)
        router.next_command().reply()
        assert client.read_response().status == 200


def test_a_connection_that_never_comes_up_proves_that_nothing_ran(router: RouterHarness) -> None:
    unresponsive, client = UnresponsiveAddress(), router.connect()
    router.change_log.send_event(2, 2, router.endpoint_record(router.caches[0], 0, port=unresponsive.port))
    router.wait_until(lambda: len(router.log_lines("node")) == 5, "the change")
    for number in range(8):  # about half of them have their home there
        client.send_request(X_ROW=f"{number + 1:016x}", **WRITE_REQUEST)
        router.next_command().reply()
        assert client.read_response().status == 200
    assert any("not up in time" in line for line in router.log_lines("connection-lost"))
    unresponsive.close()


VALID_RESPONSE_FIELDS = b"tell=hit,ver=aa11,born=1796128466000"


@pytest.mark.parametrize("what, status", [({}, 200), (WRITE_REQUEST, FAILED_STATUS)])
@pytest.mark.parametrize(
    "parts",
    [
        b"*4\r\n$16\r\n9b1f",
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"*1\r\n$3000000000\r\n",
        b"*" * 99,
        b"*0\r\n",
        (b"200", VALID_RESPONSE_FIELDS),
        (b"200", VALID_RESPONSE_FIELDS, b"body", b"more"),
        (b"999", VALID_RESPONSE_FIELDS, b""),
        (b"\xff\x00", VALID_RESPONSE_FIELDS, b""),
        (b"200", b"\x00\xfe", b"body"),
        (b"404", b"tell", b""),
        (b"503", b"-", b"full?"),
        (b"200", VALID_RESPONSE_FIELDS, bytes(240_001)),
    ],
)
def test_a_spoilt_answer_may_have_run_and_ends_its_connection(
    router: RouterHarness, parts: Any, what: dict[str, Any], status: int
) -> None:
    """Half an answer (it stays open: the rest never comes), rubbish, and arrays that say nothing readable."""
    client = router.connect()
    client.send_request(**what)
    fetch = router.next_command()
    fetch.sock.sendall(parts if isinstance(parts, bytes) else resp_array(fetch.request_id.encode(), *parts))
    if status == 200:
        again = router.next_command()
        assert again.sock is not fetch.sock
        again.reply(body=b"whole")
    response = client.read_response()
    assert response.status == status and router.commands.empty()
    assert response.body == (b"whole" if status == 200 else b"") and router.log_lines("connection-lost")


def test_given_up_at_once_when_nothing_is_left_to_try(router: RouterHarness) -> None:
    client = router.connect()
    for cache in router.caches:
        cache.listener.close()
    assert is_rejection(client.request(X_TTL_MS="3600000"))


@pytest.mark.parametrize("what, refused", [({}, True), (WRITE_REQUEST, False)])
def test_a_silent_cache_is_answered_for_when_time_is_up(
    router: RouterHarness, what: dict[str, Any], refused: bool
) -> None:
    client = router.connect()
    response = client.request(X_TTL_MS="300", **what)
    assert is_rejection(response) if refused else response.status == FAILED_STATUS
    fetch = router.next_command()
    assert router.next_command("abort").request_id == fetch.request_id
    fetch.reply(body=b"too late")
    client.send_request(2)
    router.next_command().reply(body=b"in time")
    response = client.read_response()
    assert (response.request_id, response.body) == (2, b"in time")


@pytest.mark.parametrize(
    "fields", [b"-", VALID_RESPONSE_FIELDS[:8], VALID_RESPONSE_FIELDS.replace(b"born=1", b"born=x")]
)
def test_a_copy_without_its_tag_or_age_is_not_passed_on(router: RouterHarness, fields: bytes) -> None:
    client = router.connect()
    client.send_request()
    fetch = router.next_command()
    fetch.sock.sendall(resp_array(fetch.request_id.encode(), b"200", fields, b"whose?"))
    router.next_command().reply(body=b"whole")
    assert client.read_response().body == b"whole"


def test_what_is_more_than_owed_leaves_its_connection_in_use(router: RouterHarness) -> None:
    """Second copies, and answers under an id that is not open."""
    client = router.connect()
    used = set()
    for _ in range(3):
        client.send_request()
        fetch = router.next_command()
        fetch.sock.sendall(resp_array(b"0123456789abcdef", b"200", b"-", b"not asked for"))
        for body in (b"first", b"second"):
            fetch.reply(body=body)
        assert client.read_response().body == b"first"
        used.add(fetch.sock)
    assert len(used) == 1 and not router.log_lines("connection-lost")


def test_requests_that_are_out_together_go_by_connections_of_their_own(router: RouterHarness) -> None:
    """Guards against one spoilt answer taking along all that is asked of its cache."""
    client = router.connect()
    for ident in range(1, 9):
        client.send_request(ident, X_ROW=f"{ident:016x}", **WRITE_REQUEST)
    fetches = [router.next_command() for _ in range(8)]
    assert len({id(fetch.sock) for fetch in fetches}) == 8
    fetches[0].sock.sendall(b"noise\r\n")
    for fetch in fetches[1:]:
        fetch.reply()
    assert sorted(client.read_response().status for _ in range(8)) == [200] * 7 + [FAILED_STATUS]


def test_a_connection_reset_while_new_is_no_word_of_its_cache(router: RouterHarness) -> None:
    """What was not written goes by another connection: a write too, for it surely did not run."""
    client, home = router.connect(), router.caches[0]
    router.change_log.send_event(2, 2, router.endpoint_record(router.caches[1], 2))
    router.wait_until(lambda: len(router.log_lines("node")) == 5, "only one cache is left")
    for _ in range(4):
        client.send_request(**WRITE_REQUEST)
        fetch = router.next_command()
        fetch.reply()
        assert client.read_response().status == 200
        fetch.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        fetch.sock.shutdown(2)
    assert len(home.listener.accepted) == 4 and not router.log_lines("policy")


def test_a_connection_that_breaks_now_and_then_ejects_no_cache(router: RouterHarness) -> None:
    """Each break is made good at the same cache, and takes nothing from what others may try again."""
    client = router.connect()
    for _ in range(40):  # more than the budget for further attempts would bear
        client.send_request()
        home = router.next_command()
        home.sock.shutdown(2)
        again = router.next_command()
        assert again.cache is home.cache
        again.reply()
        assert client.read_response().status == 200
    assert not router.log_lines("policy")


def test_one_broken_connection_ejects_no_cache(router: RouterHarness) -> None:
    """All that was on it is asked for again at the same cache, which holds it by now."""
    client = router.connect()
    for ident in range(1, 4):
        client.send_request(ident)
    fetches = [router.next_command() for _ in range(3)]
    for fetch in fetches:
        fetch.sock.shutdown(2)
    for _ in fetches:
        again = router.next_command()
        assert again.cache is fetches[0].cache
        again.reply()
    assert {client.read_response().status for _ in fetches} == {200} and not router.log_lines("policy")


def test_links_to_a_node_that_left_the_list_are_given_up(router: RouterHarness) -> None:
    """Nobody there answers any more: what is out ends at once, and nothing is kept for the node."""
    client = router.connect()
    client.send_request()
    fetch = router.next_command()
    others = [cache for cache in router.caches if cache is not fetch.cache]
    router.change_log.send_event(2, 1, b"".join(router.endpoint_record(cache, 0) for cache in others))
    again = router.next_command()
    assert again.cache in others
    again.reply(body=b"elsewhere")
    assert client.read_response().body == b"elsewhere" and fetch.sock.recv(1) == b""


def test_a_late_or_second_answer_is_dropped(router: RouterHarness) -> None:
    client = router.connect()
    client.send_request(1)
    fetch = router.next_command()
    for body in (b"first", b"second"):
        fetch.reply(body=body)
    assert client.read_response().body == b"first"
    client.send_request(2)
    router.next_command().reply(body=b"third")
    assert client.read_response()[:1] == (2,)


@pytest.mark.parametrize(
    "word, fields, what",
    [
        ("200", {"born": int(time.time() * 1000) - 60_000}, {"path": "/svc/page"}),  # fresh for 20 s
        ("304", {"ver": "other"}, {"X_ETAG": "4be0"}),
        ("304", {}, {}),
    ],
)
def test_what_a_cache_must_not_send_is_not_passed_on(
    router: RouterHarness, word: str, fields: dict[str, object], what: dict[str, Any]
) -> None:
    client = router.connect()
    client.send_request(**what)
    router.next_command().reply(word, b"", **fields)
    router.next_command().reply(body=b"good")
    assert client.read_response().body == b"good" and len(router.log_lines("bad-copy")) == 1


def test_a_copy_is_called_current_only_if_the_cache_names_it(router: RouterHarness) -> None:
    client = router.connect()
    client.send_request(X_ETAG="4be0", **WRITE_REQUEST)
    fetch = router.next_command()
    fetch.sock.sendall(resp_array(fetch.request_id.encode(), b"304", b"-", b""))
    assert client.read_response().status == FAILED_STATUS


def test_the_clients_copy_that_holds(router: RouterHarness) -> None:
    client = router.connect()
    client.send_request(X_ETAG="4be0")
    router.next_command().reply("304", ver="4be0")
    response = client.read_response()
    assert (response.status, response.body, response.headers["X-Notmod"]) == (200, b"", "1")


def test_a_client_that_leaves_takes_its_attempt_along(router: RouterHarness) -> None:
    client = router.connect()
    client.send_request(3)
    fetch = router.next_command()
    client.sock.sendall(fastcgi_record(2, 3))
    assert router.next_command("abort").request_id == fetch.request_id
    assert client.read_response()[:2] == (3, 0)
    client.send_request(3)  # the id is free again
    router.next_command().reply(body=b"new")
    assert client.read_response().body == b"new"
    client.send_request(4)
    fetch = router.next_command()
    client.sock.close()
    client._stream.close()
    assert router.next_command("abort").request_id == fetch.request_id


@pytest.fixture
def keyed_router() -> Iterator[RouterHarness]:
    """A router whose class `confirm` is keyed."""
    changes = {"confirm": {"effect": "token", "group": "all", "window": 5000.0}}
    running = RouterHarness(classes=[{**cls, **changes.get(cls["name"], {})} for cls in SETTINGS["classes"]])
    yield running
    running.close()


@pytest.mark.parametrize("path", ["/svc/confirm", "/svc/image"])
def test_the_idempotency_key_passes_on_unchanged_with_each_attempt(
    keyed_router: RouterHarness, path: str
) -> None:
    client = keyed_router.connect()
    client.send_request(path=path, X_TXN_KEY="Ab-9/x=1", body=b"")
    first = keyed_router.next_command()
    first.reply("503", tell="no_slot")
    second = keyed_router.next_command()
    assert [fetch.fields["nonce"] for fetch in (first, second)] == ["Ab-9/x=1"] * 2
    second.reply(body=b"done")
    assert client.read_response().body == b"done"


@pytest.mark.parametrize("key", [None, "", "a,from=s-1", "a b", "a" * 129])
def test_a_keyed_request_without_a_usable_key_is_told_so(
    keyed_router: RouterHarness, key: str | None
) -> None:
    client = keyed_router.connect()
    assert client.request(path="/svc/confirm", X_TXN_KEY=key).status == 400
    client.send_request(path="/svc/confirm", X_TXN_KEY="k1")
    assert keyed_router.next_command().fields["nonce"] == "k1"


# -- what clients do wrong --


@pytest.mark.parametrize(
    "what, status",
    [
        ({"X_TXN": None}, 400),
        ({"X_TXN": "a,from=s-1"}, 400),
        ({"X_ROW": "xyz"}, 400),
        ({"X_SEG": "-1"}, 400),
        ({"X_TXN": "9b1f"}, 400),
        ({"X_ROW": "7f3a9c21e0b4d655f"}, 400),
        ({"X_SEG": "-4000000"}, 400),
        ({"X_SEG": "1e12"}, 400),
        ({"X_SEG": "70000"}, 400),
        ({"X_BUCKET": "256"}, 400),
        ({"X_BUCKET": ""}, 400),
        ({"X_TTL_MS": "99999999999"}, 400),
        ({"X_WORKING_SET_KB": "99999999999"}, 400),
        ({"X_TTL_MS": "soon"}, 400),
        ({"X_TTL_MS": "0"}, 400),
        ({"X_WORKING_SET_KB": "nan"}, 400),
        ({"path": "/svc/nothing"}, 404),
        ({"path": "/else"}, 404),
        ({"X_FILL": "y" * 40_000}, 413),
    ],
)
def test_a_bad_request_is_told_so(router: RouterHarness, what: dict[str, Any], status: int) -> None:
    client = router.connect()
    assert client.request(**what).status == status
    assert router.log_lines("bad-request")
    client.send_request(2)
    router.next_command().reply()
    assert client.read_response().status == 200


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        fastcgi_record(1, 1, b"\0"),
        fastcgi_record(1, 1, struct.pack(">HB5x", 1, 1)) * 2,
        fastcgi_record(9, 0, b"\x20\x00abc"),
    ],
)
def test_what_is_not_fastcgi_ends_its_connection_alone(router: RouterHarness, data: bytes) -> None:
    other, client = router.connect(), router.connect()
    other.send_request()
    fetch = router.next_command()
    client.sock.sendall(data)
    assert client.is_closed()
    fetch.reply()
    assert other.read_response().status == 200
    router.wait_until(lambda: router.log_lines("client-lost"), "a line of the log")


@pytest.mark.parametrize(
    "data, kind, content",
    [
        (
            fastcgi_record(9, 0, name_value_pair("FCGI_MPXS_CONNS", "") + name_value_pair("ELSE", "")),
            10,
            name_value_pair("FCGI_MPXS_CONNS", "1"),
        ),
        (fastcgi_record(77, 0, b"?"), 11, b"\x4d" + bytes(7)),
        (fastcgi_record(1, 9, struct.pack(">HB5x", 2, 1)), 3, b"\0\0\0\0\x03\0\0\0"),
    ],
)
def test_management_records(router: RouterHarness, data: bytes, kind: int, content: bytes) -> None:
    client = router.connect()
    client.sock.sendall(data)
    got = client.read_record()
    assert (got[0], got[2]) == (kind, content)


@pytest.mark.parametrize("sent", ["nothing", "half a record", "half a request"])
def test_what_never_comes_in_whole_is_ended_and_others_are_not(router: RouterHarness, sent: str) -> None:
    """Guards against clients that hold a connection for nothing."""
    usual, client = router.connect(), router.connect()
    usual.send_request()
    fetch = router.next_command()
    whole = client.encode_request(7)
    if sent == "half a record":
        client.sock.sendall(whole[:10])
    elif sent == "half a request":
        client.sock.sendall(whole[:-8])  # all but the end of the body
        assert client.read_response()[:2] == (7, 408)
        client.send_request(8)
        router.next_command().reply(body=b"goes on")
        assert client.read_response().body == b"goes on"
    if sent != "half a request":
        assert client.is_closed()
    fetch.reply(body=b"usual")
    assert usual.read_response().body == b"usual"


@pytest.mark.parametrize("kind, status", [(4, 413), (5, 413)])
def test_what_never_ends_is_answered_before_its_end(router: RouterHarness, kind: int, status: int) -> None:
    client = router.connect()
    client.sock.sendall(
        client.encode_request()[:-8].replace(fastcgi_record(4, 1), b"" if kind == 4 else fastcgi_record(4, 1))
    )
    client.sock.sendall(fastcgi_record(kind, 1, bytes(60_000)) * 3)  # no end of it
    assert client.read_response()[:2] == (1, status)


def test_the_id_of_an_open_request_is_not_taken_again(router: RouterHarness) -> None:
    """Guards against an answer that goes to the wrong one of the two."""
    client, other = router.connect(), router.connect()
    client.send_request(X_TXN="9b1f03aa5c7e2d41")
    fetch = router.next_command()
    assert other.request(X_TXN="9b1f03aa5c7e2d41", X_ROW="0123456789abcdef").status == 400
    fetch.reply(body=b"mine")
    assert client.read_response().body == b"mine" and router.commands.empty()
    other.send_request(X_TXN="9b1f03aa5c7e2d41")  # free again
    router.next_command().reply(body=b"now")
    assert other.read_response().body == b"now"


@pytest.mark.parametrize("pause", [0.0, 0.005])
def test_a_client_that_is_turned_away_again_and_again_is_left(router: RouterHarness, pause: float) -> None:
    """What it had open before is answered first, though it goes on sending.

    What comes behind the last that is turned away by itself is refused by the protocol; how much that is
    depends on how the bytes come in, but for requests that come one by one.
    """
    client = router.connect()
    client.send_request(1)
    fetch = router.next_command()
    for ident in range(2, 25):
        client.send_request(ident, path="/svc/nothing")
        time.sleep(pause)
    router.wait_until(lambda: len(router.log_lines("bad-request")) > 3, "the refusals")
    fetch.reply(body=b"first")
    responses = []
    with pytest.raises(EOFError):
        while True:
            responses.append(client.read_response())
    assert [response.status for response in responses if response.body == b"first"] == [200]
    ends = [
        (response.status, response.protocol_status) for response in responses if response.body != b"first"
    ]
    turned_away = ends.count((404, 0))
    assert ends == [(404, 0)] * turned_away + [(0, OVERLOADED)] * (len(ends) - turned_away)
    if pause:
        assert (turned_away, len(ends)) == (MOST_TURNED_AWAY + 1, 23)
    assert turned_away > MOST_TURNED_AWAY


def test_idle_clients_make_room_and_busy_ones_stay() -> None:
    """Guards against connections that are merely held keeping out those that ask."""
    router = RouterHarness(sockets=16)  # of which clients get 8
    busy, halfway = router.connect(), router.connect()
    busy.send_request()
    fetch = router.next_command()
    halfway.sock.sendall(halfway.encode_request()[:40])
    held = [router.connect() for _ in range(6)]
    for client in held[:3]:
        assert (
            client.request(path="/status/live").status == 200
        )  # and it stays; the others never say anything
    for _ in range(8):
        late = router.connect()
        assert late.request(path="/status/live").status == 200
    halfway.sock.sendall(halfway.encode_request()[40:])
    router.next_command().reply(body=b"halfway")
    assert halfway.read_response().body == b"halfway"
    fetch.reply(body=b"busy")
    assert busy.read_response().body == b"busy" and held[-1].is_closed()
    router.close()


def test_a_connection_that_is_not_to_be_kept_ends_with_its_answer(router: RouterHarness) -> None:
    client = router.connect()
    client.sock.sendall(
        client.encode_request().replace(struct.pack(">HB5x", 1, 1), bytes((0, 1)) + bytes(6), 1)
    )
    router.next_command().reply(body=b"x" * 100_000)
    assert len(client.read_response().body) == 100_000 and client.is_closed()


def test_more_requests_than_a_connection_may_hold(router: RouterHarness) -> None:
    client = router.connect()
    for ident in range(1, 34):
        client.send_request(ident)
    response = client.read_response()
    assert (response.request_id, response.status, response.protocol_status) == (33, 0, 2)


def test_no_room_for_a_request_is_a_refusal() -> None:
    router = RouterHarness(limits={**SETTINGS["limits"], "most_held": 1})
    client = router.connect()
    client.send_request(1)
    fetch = router.next_command()
    client.send_request(2)
    response = client.read_response()
    assert response.request_id == 2 and is_rejection(response)
    fetch.reply()
    assert client.read_response()[:2] == (1, 200)
    router.close()


def test_no_memory_for_a_request_is_a_refusal_and_what_is_held_is_given_back() -> None:
    router = RouterHarness(memory_mb=0.1)  # a quarter of it is 25,000 bytes
    client = router.connect()
    for _ in range(5):
        response = client.request(body=bytes(30_000))
        assert (response.status, response.protocol_status) == (0, 2)
        assert is_rejection(client.request(X_WORKING_SET_KB="100"))
        client.send_request(body=bytes(2000))
        router.next_command().reply(body=bytes(20_000))
        assert client.read_response().status == 200
    router.close()


def test_running_out_of_descriptors_ends_nothing() -> None:
    router = RouterHarness(descriptors=24)
    clients = [router.connect() for _ in range(60)]
    router.wait_until(lambda: router.log_lines("no-descriptors"), "a line of the log")
    for client in clients:
        client.sock.close()
        client._stream.close()
    client = router.connect()
    client.send_request()
    router.next_command().reply()
    assert client.read_response().status == 200
    router.close()


# -- the change log --


def request_objects(router: RouterHarness, client: FastCgiClient, count: int = 12) -> list[ReceivedCommand]:
    """Asks for so many objects; every one is served."""
    found = []
    for number in range(count):
        client.send_request(X_ROW=f"{number + 1:016x}")
        found.append(router.next_command())
        found[-1].reply()
        assert client.read_response().status == 200
    return found


@pytest.mark.parametrize("state", [1, 2])
def test_nothing_new_goes_to_a_cache_that_drains_or_is_gone(router: RouterHarness, state: int) -> None:
    client, (leaving, staying) = router.connect(), router.caches
    assert {fetch.cache for fetch in request_objects(router, client)} == {leaving, staying}
    router.change_log.send_event(2, 2, router.endpoint_record(leaving, state))
    router.wait_until(lambda: len(router.log_lines("node")) == 5, "the change")
    assert {fetch.cache for fetch in request_objects(router, client)} == {staying}


def test_a_source_that_drains_is_named_no_more(router: RouterHarness) -> None:
    client = router.connect()
    assert request_objects(router, client, 1)[0].fields["from"] == "s-00000020"
    parent = struct.pack(">IIHBBBHIQ", 0x20, 0x7F000001, 1, 1, 0, 1, 0, 9_000_000, 0)
    router.change_log.send_event(2, 2, parent)
    router.wait_until(lambda: len(router.log_lines("node")) == 5, "the change")
    assert request_objects(router, client, 1)[0].fields["from"] == "s-00000030"


def test_a_new_cache_at_an_old_address_is_another_cache(router: RouterHarness) -> None:
    """Guards against naming a home by its address, and against using a connection to the old one."""
    client, (old, _) = router.connect(), router.caches
    request_objects(router, client)
    assert old.listener.accepted
    new = struct.pack(">IIHBBBHIQ", 0x99, 0x7F000001, old.listener.port, 0, 1, 0, 0, 9_000_000, 0)
    before = len(old.listener.accepted)
    router.change_log.send_event(2, 2, router.endpoint_record(old, 2) + new)
    router.wait_until(lambda: len(router.log_lines("node")) == 6, "the change")
    request_objects(router, client)
    assert len(old.listener.accepted) > before


def test_a_cache_that_has_moved_is_asked_at_its_new_address(router: RouterHarness) -> None:
    client, (old, _) = router.connect(), router.caches
    assert old in {fetch.cache for fetch in request_objects(router, client)}
    moved = FakeCache(old.endpoint_id, router.commands)
    router.change_log.send_event(2, 2, router.endpoint_record(old, 0, port=moved.listener.port))
    router.wait_until(lambda: len(router.log_lines("node")) == 5, "the change")
    assert {fetch.cache for fetch in request_objects(router, client)} == {moved, router.caches[1]}
    moved.listener.close()


@pytest.mark.parametrize("since, lost", [(1000, True), (-60_000, False)])
def test_connections_older_than_the_start_of_their_machine_are_closed(
    router: RouterHarness, since: int, lost: bool
) -> None:
    """Guards against waiting for a process that is gone, and giving up what its successor works on."""
    client = router.connect()
    client.send_request()
    fetch = router.next_command()
    router.change_log.send_event(
        2, 2, router.endpoint_record(fetch.cache, 0, int(time.time() * 1000) + since)
    )
    router.wait_until(lambda: len(router.log_lines("node")) == 5, "the news")
    if lost:
        router.wait_until(lambda: router.log_lines("connection-lost"), "the end of the connection")
        fetch = router.next_command()
    fetch.reply(body=b"here")
    assert client.read_response().body == b"here" and bool(router.log_lines("connection-lost")) is lost


@pytest.mark.parametrize(
    "kind, name", [(3, struct.pack(">Q", 0x7F3A9C21E0B4D655)), (4, struct.pack(">H", 17))]
)
def test_no_copy_older_than_a_purge(router: RouterHarness, kind: int, name: bytes) -> None:
    client = router.connect()
    client.send_request()
    router.next_command().reply()
    assert client.read_response().status == 200
    moment = int(time.time() * 1000) - 100
    router.change_log.send_event(2, kind, name + struct.pack(">Q", moment))

    def asked() -> bool:
        client.send_request()
        fetch = router.next_command()
        fetch.reply()
        assert client.read_response().status == 200
        oldest = int(fetch.fields.get("oldest", 0))
        assert not oldest or time.time() * 1000 - oldest >= moment
        return oldest > 0

    router.wait_until(asked, "the purge")


def test_an_answer_that_is_older_than_the_purge_it_was_asked_after(router: RouterHarness) -> None:
    client, moment = router.connect(), int(time.time() * 1000)
    router.change_log.send_event(2, 4, struct.pack(">HQ", 17, moment))
    router.change_log.send_event(3, 2, router.endpoint_record(router.caches[0], 0))
    router.wait_until(lambda: len(router.log_lines("node")) == 5, "the change after the purge")
    client.send_request()
    router.next_command().reply(body=b"old", born=moment - 5000)
    router.next_command().reply(body=b"new")
    assert client.read_response().body == b"new"


@pytest.mark.parametrize("breaks", ["closed", "gap", "unreadable", "silent", "trickling"])
def test_the_change_log_goes_on_where_it_broke(router: RouterHarness, breaks: str) -> None:
    assert router.change_log.resumed_from.get(timeout=TEST_TIMEOUT) == 1
    purge = struct.pack(">HQ", 40, 1)
    router.change_log.send_event(2, 4, purge)
    router.change_log.send_event(2, 0)
    if breaks == "closed":
        router.change_log.listener.accepted[-1].shutdown(2)
    elif breaks == "gap":
        router.change_log.send_event(4, 4, purge)
    elif breaks == "unreadable":
        router.change_log.listener.accepted[-1].sendall(struct.pack(">IQB", 2, 3, 0))
    elif breaks == "trickling":
        router.change_log.listener.accepted[-1].sendall(struct.pack(">IQB", 500, 3, 2))

        def given_up() -> bool:
            router.change_log.send_partial_frame_byte()
            return bool(router.log_lines("changelog-lost"))

        router.wait_until(given_up, "an end of the trickling")
    assert router.change_log.resumed_from.get(timeout=TEST_TIMEOUT) == 2
    router.change_log.send_event(3, 2, router.endpoint_record(router.caches[0], 1))
    router.wait_until(lambda: len(router.log_lines("node")) == 5, "the next event")


def test_a_gap_that_stays_is_closed_by_the_whole_list(router: RouterHarness) -> None:
    """What was in the gap, as a drain or a purge, must not stay unknown."""
    for _ in range(2):  # the log no longer has event 2
        assert router.change_log.resumed_from.get(timeout=TEST_TIMEOUT) == 1
        router.change_log.send_event(3, 4, struct.pack(">HQ", 40, 1))
    assert router.change_log.resumed_from.get(timeout=TEST_TIMEOUT) == 0
    nodes = b"".join(
        router.endpoint_record(cache, state) for cache, state in zip(router.caches, (1, 0), strict=True)
    )
    router.change_log.send_event(3, 1, nodes)
    router.wait_until(lambda: len(router.log_lines("node")) == 6, "the whole list")


@pytest.mark.parametrize("news", ["drain", "source", "purge"])
def test_what_waits_for_a_connection_is_looked_at_again(news: str) -> None:
    """Guards against sending by a decision that was overtaken while the connection came up."""
    limits = {"connect_timeout": 28_000.0, "conn_idle": 600_000.0, "most_tries": 8, "cancel": True}
    router = RouterHarness(limits=limits)  # time for the kernel to try again and again
    unresponsive, client, (slow, other) = UnresponsiveAddress(), router.connect(), router.caches
    router.change_log.send_event(
        2, 2, router.endpoint_record(slow, 0, port=unresponsive.port) + router.endpoint_record(other, 1)
    )
    router.wait_until(lambda: len(router.log_lines("node")) == 6, "the first change")
    client.send_request(X_TTL_MS="30000")
    client.send_request(2, path="/svc/nothing")
    assert client.read_response().status == 404  # so the first request has been decided
    if news == "drain":
        router.change_log.send_event(
            3, 2, router.endpoint_record(slow, 1, port=unresponsive.port) + router.endpoint_record(other, 0)
        )
        router.next_command().reply(body=b"other")
        assert client.read_response().body == b"other"
        with contextlib.suppress(TimeoutError):
            sock = unresponsive.accept_connection(3.0)
            sock.settimeout(1.0)
            assert sock.recv(1) == b""  # it may end the connection, but sends nothing
    else:
        parent = struct.pack(">IIHBBBHIQ", 0x20, 0x7F000001, 1, int(news == "source"), 0, 1, 0, 9_000_000, 0)
        router.change_log.send_event(
            3, 4, struct.pack(">HQ", 17 + (news == "source"), int(time.time() * 1000))
        )
        router.change_log.send_event(4, 2, parent)
        router.wait_until(lambda: len(router.log_lines("node")) == 7, "the change after the purge")
        fields = unresponsive.accept_connection().recv(1000)
        assert (b"oldest=" in fields, b"from=s-00000030" in fields) == (news == "purge", news == "source")
    unresponsive.close()
    router.close()


def test_odd_news_ends_nothing(router: RouterHarness) -> None:
    client, odd = router.connect(), struct.pack(">IIHBBBHIQ", 0x77, 0, 0, 9, 200, 200, 65535, 0, 2**64 - 1)
    for number in range(2, 9):
        router.change_log.send_event(number, 2, odd + odd)
    router.change_log.send_event(9, 77, b"?")
    nodes = b"".join(router.endpoint_record(cache, 0) for cache in router.caches)
    router.change_log.send_event(
        10, 1, nodes + struct.pack(">IIHBBBHIQ", 0x30, 0x7F000001, 1, 0, 0, 2, 0, 9_000_000, 0)
    )
    router.wait_until(lambda: len(router.log_lines("node")) == 4 + 14 + 3, "the whole list")
    assert {fetch.fields["from"] for fetch in request_objects(router, client)} == {"s-00000030"}


def test_a_clock_that_is_set_back_stops_no_timer_and_hides_no_purge(tmp_path: Path) -> None:
    flag = tmp_path / "set-back"
    tmp_path.joinpath("sitecustomize.py").write_text(
        "import os, time\nreal = time.time\n"
        f"time.time = lambda: real() - (3600 if os.path.exists({str(flag)!r}) else 0)\n"
    )
    router = RouterHarness(env={"PYTHONPATH": str(tmp_path)})
    client = router.connect()
    request_objects(router, client, 2)
    flag.touch()
    assert is_rejection(client.request(X_TTL_MS="300"))
    assert router.next_command("abort").command == "abort"
    router.change_log.send_event(2, 4, struct.pack(">HQ", 17, int((time.time() - 3600) * 1000)))
    router.change_log.send_event(3, 2, router.endpoint_record(router.caches[0], 0))
    router.wait_until(lambda: len(router.log_lines("node")) == 5, "the change after the purge")
    client.send_request()
    assert int(router.next_command().fields["oldest"]) < 1_000_000
    router.close()


# -- start, new configurations and stop --


def test_sighup_moves_the_change_log_while_requests_go_on(router: RouterHarness) -> None:
    client, new = router.connect(), FakeChangeLog()
    client.send_request()
    fetch = router.next_command()
    assert router.change_log.resumed_from.get(timeout=TEST_TIMEOUT) == 1
    router.change_log.send_event(2, 4, struct.pack(">HQ", 40, 1))
    router.change_log.send_event(3, 0)  # and then it stays open and silent
    changed = {**router.config, "changelog": f"127.0.0.1:{new.listener.port}"}
    router.reload(json.dumps(changed))
    assert new.resumed_from.get(timeout=TEST_TIMEOUT) == 2
    new.send_event(3, 2, router.endpoint_record(router.caches[0], 1))
    router.wait_until(lambda: len(router.log_lines("node")) == 5, "the next event")
    fetch.reply(body=b"went on")
    assert client.read_response().body == b"went on"
    assert "waits_for_restart=nothing" in router.log_lines("reloaded")[0]
    new.listener.close()


@pytest.mark.parametrize(
    "text",
    [
        "",
        "{",
        "[]",
        "{}",
        '{"limits": {"sockets": 0}}',
        '{"limits": {"memory_mb": -1}}',
        '{"limits": {"sockets": 1e999}}',
        '{"changelog": "nowhere"}',
        '{"known": {"results": [{"fleet": 7}]}}',
        '{"settings": {}}',
    ],
)
def test_a_bad_new_configuration_is_one_line_and_the_old_one_stays(router: RouterHarness, text: str) -> None:
    assert router.change_log.resumed_from.get(timeout=TEST_TIMEOUT) == 1
    changes = json.loads(text) if text.startswith('{"') else None
    router.reload(text if changes is None else json.dumps({**router.config, **changes}))
    router.wait_until(lambda: router.log_lines("reload-refused"), "a line of the log")
    router.change_log.send_event(2, 2, router.endpoint_record(router.caches[0], 1))
    router.wait_until(lambda: len(router.log_lines("node")) == 5, "an event by the old address")
    request_objects(router, router.connect(), 2)
    assert len(router.log_lines("reload-refused")) == 1


@pytest.mark.parametrize(
    "change, part",
    [
        ({"name": "n9"}, "name"),
        ({"listen": "127.0.0.1:1"}, "listen"),
        ({"settings": {**SETTINGS, "classes": [{**SETTINGS["classes"][0], "name": "reel"}]}}, "classes"),
        ({"settings": {**SETTINGS, "zone": 0}}, "zone"),
    ],
)
def test_another_routers_file_is_refused_whole(
    router: RouterHarness, change: dict[str, Any], part: str
) -> None:
    """Neither its limits nor its change log may turn up here."""
    assert router.change_log.resumed_from.get(timeout=TEST_TIMEOUT) == 1
    new, limits = FakeChangeLog(), {**router.config["limits"], "memory_mb": 0.001}
    router.reload(
        json.dumps(
            {**router.config, "limits": limits, "changelog": f"127.0.0.1:{new.listener.port}", **change}
        )
    )
    router.wait_until(lambda: router.log_lines("reload-refused"), "a line of the log")
    assert f"by its {part}" in router.log_lines("reload-refused")[0] and not router.log_lines("reloaded")
    router.change_log.send_event(2, 2, router.endpoint_record(router.caches[0], 1))
    router.wait_until(lambda: len(router.log_lines("node")) == 5, "an event by the old address")
    request_objects(router, router.connect(), 2)
    assert new.resumed_from.empty()
    new.listener.close()


def test_a_new_limit_holds_at_once(router: RouterHarness) -> None:
    limits = {"limits": {**router.config["limits"], "memory_mb": 0.001}}
    router.reload(json.dumps({**router.config, **limits}))
    router.wait_until(lambda: router.log_lines("reloaded"), "the new configuration")
    assert is_rejection(router.connect().request(X_WORKING_SET_KB="100"))


def test_over_our_share_of_a_core_only_who_has_waited_is_refused() -> None:
    """Guards against refusals that feed themselves, and against being stopped; a new share holds at once."""
    settings = settings_from({"zone": 0, "classes": [{"deadline": 5000.0, "on_time": 900.0}]})
    admit = Admit(settings, OpenRequests(), Budget(), 0.0, 1)
    admit.cpu.share(1e-9)
    assert admit.cpu.left() < 0
    assert [admit.too_much(1000.0 + waited, 1000.0, 0) for waited in (0.0, 20.0, 30.0, 400.0)] == [
        "",
        "",
        "cpu",
        "waited",
    ]
    admit.cpu.share(1.0)
    assert admit.too_much(1030.0, 1000.0, 0) == ""


@pytest.mark.parametrize("waited, refused", [(10.0, []), (50.0, [0]), (100.0, [0, 1]), (9000.0, [0, 1, 2])])
def test_what_has_waited_too_long_is_refused_by_its_worth(waited: float, refused: list[int]) -> None:
    classes = [{"deadline": 5000.0, "on_time": 200.0, "importance": worth} for worth in (1.0, 2.0, 4.5)]
    settings = settings_from({"zone": 0, "classes": classes})
    admit = Admit(settings, OpenRequests(), Budget(), 0.0, 1)
    assert [kind for kind in range(3) if admit.too_much(1000.0 + waited, 1000.0, kind)] == refused


@pytest.mark.parametrize("deadline, within", [(600.0, 0.8), (9000.0, 3.2)])
def test_sigterm_answers_before_sigkill(deadline: float, within: float) -> None:
    """SIGKILL comes 0.7 s after the longest deadline, of which 3 s count at most."""
    classes = [{**cls, "deadline": deadline, "on_time": 500.0} for cls in SETTINGS["classes"]]
    router = RouterHarness(classes=classes)
    client = router.connect()
    client.send_request(X_TTL_MS="60000")
    router.next_command()
    router.process.send_signal(signal.SIGTERM)
    assert is_rejection(client.read_response())
    assert router.process.wait(TEST_TIMEOUT) == 0
    assert router.log_lines("stopping")[0].endswith(f" within={within}") and router.log_lines("stopped")
    router.close()


def test_sigterm_finishes_what_was_taken_and_takes_more_for_the_grace(router: RouterHarness) -> None:
    early = router.connect()
    early.send_request()
    held = router.next_command()
    router.process.send_signal(signal.SIGTERM)
    router.wait_until(lambda: router.log_lines("stopping"), "the stop")
    late = router.connect()
    late.send_request()
    router.next_command().reply(body=b"late")
    assert late.read_response().body == b"late"
    held.reply(body=b"early")
    assert early.read_response().body == b"early"
    assert router.process.wait(TEST_TIMEOUT) == 0
    router.process = router.start()


def test_sigterm_while_all_places_are_taken_loses_nothing() -> None:
    """Guards against an end with connections that wait to be accepted, and against one by an error."""
    router = RouterHarness(sockets=16)  # of which clients get 8
    held = [router.connect() for _ in range(8)]
    for client in held:
        client.send_request()
    fetches = [router.next_command() for _ in held]
    late = router.connect()
    late.send_request(X_ROW="0123456789abcdef")
    router.process.send_signal(signal.SIGTERM)
    router.wait_until(lambda: router.log_lines("stopping"), "the stop")
    for fetch in fetches:
        fetch.reply(body=b"held")
    assert {client.read_response().body for client in held} == {b"held"}
    router.next_command().reply(body=b"late")
    assert late.read_response().body == b"late"
    assert router.process.wait(TEST_TIMEOUT) == 0 and not router.log_lines("Exception")
    router.close()


def test_sigterm_answers_what_no_cache_answers(router: RouterHarness) -> None:
    clients = [router.connect(), router.connect()]
    clients[0].send_request(X_TTL_MS="3600000")
    clients[1].send_request(X_TTL_MS="3600000", **WRITE_REQUEST)
    router.next_command(), router.next_command()
    router.process.send_signal(signal.SIGTERM)
    assert is_rejection(clients[0].read_response()) and clients[1].read_response().status == FAILED_STATUS
    assert router.process.wait(TEST_TIMEOUT) == 0
    router.process = router.start()


@pytest.mark.parametrize(
    "text",
    [
        None,
        "{",
        "[]",
        "{}",
        '{"settings":{"zone":0,"classes":[{}]}}',
        '{"settings":{"zone":0,"classes":[{"deadline":1}]},"listen":"nowhere","changelog":"127.0.0.1:1"}',
        '{"settings":{"zone":0,"classes":[{"deadline":1}]},"listen":"127.0.0.1:0","changelog":"127.0.0.1:1",'
        '"known":{"results":[{"fleet":{"instances":[{"instanceId":"x"}]}}]}}',
        '{"settings":{"zone":0,"classes":[{"deadline":1}]},"listen":"255.1.1.1:1","changelog":"127.0.0.1:1"}',
    ],
)
def test_a_bad_configuration_is_one_clear_line(tmp_path: Path, text: str | None) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "stonecove"],
        env={"RELAY_CONFIG": str(path)},
        capture_output=True,
        text=True,
        timeout=TEST_TIMEOUT,
    )
    assert done.returncode == 2 and done.stderr.startswith("stonecove: ") and done.stderr.count("\n") == 1


def test_the_stats_line_tells_why_requests_were_refused() -> None:
    lines: list[tuple[str, dict[str, object]]] = []
    clock, responses = Clock(lambda: 1000.0, lambda: 1000.0), list[exchange.Answer]()
    budget = Budget()
    budget.most = 1e9
    route = Route(settings_from(SETTINGS), 7, clock, Timers(clock, lambda: 0.0), budget, 0.0, fail_on_connect)
    route.asked(
        exchange.Asked(
            "9b1f03aa5c7e2d41",
            "image",
            "7f3a9c21e0b4d655",
            "0",
            0,
            7,
            0,
            17,
            4.5,
            3000.0,
            "",
            b"",
            responses.append,
        )
    )
    assert not route.decide()
    divert(lambda event, fields: lines.append((event, fields)))
    try:
        route.book.line(**route.figures())
    finally:
        divert(None)
    assert [response.verdict for response in responses] == [exchange.Verdict.REFUSED]
    assert [(event, fields["refused_no_cache"]) for event, fields in lines] == [("stats", 1)]


def fail_on_connect(owner: Owner, address: tuple[str, int], patience: float) -> Channel:
    raise AssertionError("there is nobody to connect to")
