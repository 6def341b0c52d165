"""Guards against bad requests that crash an entry process, run anyway or get an unclear answer, and
against an unclear end when an address is in use."""
import http.client
import json
import pathlib
import socket
import subprocess
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
import testbed

RENEWAL = "/v1/run/strip-desk/renewal"
SYNC = "/v1/run/strip-desk/courier-sync"
# method, path, headers, body, expected status, expected field of the error
CASES = [
    ("POST", "/v1/run/strip-desk/unknown", {"X-Request-Id": "bad-1"}, b"x", 404, "class"),
    ("POST", "/v1/run/strip-desk", {}, b"x", 404, "path"),
    ("POST", "/v1/run/a/b/c", {}, b"x", 404, "path"),
    ("POST", RENEWAL, {}, b"x", 400, "X-Request-Id"),
    ("POST", RENEWAL, {"X-Request-Id": "x" * 65}, b"x", 400, "X-Request-Id"),
    ("POST", RENEWAL, {"X-Request-Id": "bad id"}, b"x", 400, "X-Request-Id"),
    ("POST", RENEWAL, {"X-Request-Id": "bad-2", "X-Caller": "y" * 65}, b"x", 400, "X-Caller"),
    ("POST", SYNC, {"X-Deadline-Ms": "-5"}, b"x", 400, "X-Deadline-Ms"),
    ("POST", SYNC, {"X-Deadline-Ms": "soon"}, b"x", 400, "X-Deadline-Ms"),
    ("POST", RENEWAL, {"X-Request-Id": "bad-3"}, b"x" * (256 * 1024 + 1), 413, None),
    ("GET", RENEWAL, {}, None, 405, "method"),
    ("DELETE", "/v1/sheet", {}, None, 405, "method"),
    ("PUT", "/v1/sheet", {}, b"name: x", 400, "expect"),
    ("POST", "/v1/members/remove?entry=nobody", {}, b"", 404, "entry"),
    ("GET", "/nothing", {}, None, 404, "path"),
]


def ask(address, method, path, headers, body):
    connection = http.client.HTTPConnection(*address, timeout=10)
    try:
        connection.request(method, path, body=body, headers=headers)
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


def scenario(bed):
    address = bed.entries[0].address
    for method, path, headers, body, expected, field in CASES:
        status, answer, text = ask(address, method, path, headers, body)
        case = f"{method} {path} {list(headers)}: {status} {text[:200]}"
        assert status == expected, case
        error = json.loads(text)
        assert error["error"], case
        assert answer.get("X-Outcome") == "not-run" and error["outcome"] == "not-run", case
        assert field is None or error["field"] == field, case
    status, _, text = ask(address, "PUT", "/v1/sheet?expect=1", {}, b"name: x\nservces: []\n")
    findings = json.loads(text)["findings"]
    assert status == 400 and any(item["line"] == 2 for item in findings), text
    # A body that ends early must not be run.
    with socket.create_connection(address) as cut:
        cut.sendall(f"POST {RENEWAL} HTTP/1.1\r\nHost: x\r\nX-Request-Id: cut-1\r\n"
                    "Content-Length: 100\r\n\r\nhalf".encode())
    ran = {request for journal in bed.journals() for request in journal["runs"]}
    assert not {"bad-1", "bad-2", "bad-3", "cut-1"} & ran, ran

    settings = next(pathlib.Path(bed.folder).glob(f"{bed.entries[0].name}*.yaml"))
    second = subprocess.run([str(bed.program), "serve", "--config", str(settings)],
                            capture_output=True, text=True, timeout=20)
    assert second.returncode == 4, (second.returncode, second.stderr)
    assert "in use" in second.stderr.lower(), second.stderr
    # The process still works.
    return testbed.Load(bed, testbed.make_items(bed, 50), callers=4).start().join()


testbed.run_test(scenario, seed=108)
