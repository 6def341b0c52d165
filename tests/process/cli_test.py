#!/usr/bin/env python3
"""Runs the command line and checks exit statuses, messages and the requests it sends.

A small HTTP server in this process stands for the entry process.
"""
import argparse
import http.server
import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import threading
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
EXAMPLE = str(ROOT / "examples/tatrasen.yaml")
PROGRAM = ""
OK, FAILED, BAD_INPUT, UNREACHABLE = 0, 1, 2, 3


class Entry(http.server.ThreadingHTTPServer):
    """Answers each "METHOD /path" with a prepared (status, body) and records the requests."""

    daemon_threads = True

    def __init__(self):
        super().__init__(("127.0.0.1", 0), Handler)
        self.responses = {}
        self.requests = []
        self.address = f"127.0.0.1:{self.server_address[1]}"
        threading.Thread(target=self.serve_forever, daemon=True).start()


class Handler(http.server.BaseHTTPRequestHandler):
    def answer(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        headers = {name.lower(): value for name, value in self.headers.items()}
        self.server.requests.append((self.command, self.path, headers, body))
        status, text = self.server.responses[f"{self.command} {self.path.split('?')[0]}"]
        payload = (text if isinstance(text, str) else json.dumps(text)).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(payload)))
        self.end_headers()
        self.wfile.write(payload)

    do_GET = do_PUT = do_POST = answer

    def log_message(self, *args):
        pass


def run(*arguments, **environment):
    variables = {k: v for k, v in os.environ.items() if k != "MONSOONLEDGE_TOKEN"}
    return subprocess.run([PROGRAM, *arguments], capture_output=True, text=True, timeout=30,
                          env={**variables, **environment})


def burn(entry, total, refused, caller):
    """A response to GET /v1/burn with one class; all refused requests are of one caller."""
    causes = {"refused": refused, "unknown": 0, "slow": 0}
    one = {"class": "desk/urgent", "service": "desk", "objective": 0.99, "latencyTargetMs": 100,
           "windows": {name: {**causes, "total": total} for name in ("5m", "30m", "1h", "6h")},
           "callers": [{"caller": caller, "1h": causes, "6h": causes}],
           "series": [[0, 0, 0, 0]] * 71 + [[total, refused, 0, 0]]}
    return {"entries": [entry], "notReached": [], "sheetRevision": 3, "classes": [one]}


def explanation(process, **fields):
    """An answer of an entry process that is not the coordinator."""
    return {"Process": process, "Queue": "short", "Outcome": "accept", "Reason": "free-capacity",
            "StoreReached": True, "IsCoordinator": False, "Coordinator": "edge-a", **fields}


class CommandLineCase(unittest.TestCase):
    def expect(self, result, status, message=""):
        self.assertEqual(result.returncode, status, result.stderr + result.stdout)
        self.assertIn(message, result.stdout if status == OK else result.stderr)
        if status != OK:
            self.assertEqual(result.stdout, "")


class WithoutEntry(CommandLineCase):
    def test_help_documents_commands_and_exit_statuses(self):
        result = run("--help")
        self.expect(result, OK)
        for text in ("serve --config FILE", "config check", "sheet check", "sheet diff",
                     "sheet put", "sheet show", "status", "Exit statuses:", "4  an address"):
            self.assertIn(text, result.stdout)
        self.expect(run("--version"), OK, "monsoonledge ")
        self.expect(run("sheet", "put", "--help"), OK, "--expect N")

    def test_wrong_command_lines_are_bad_input_with_a_message_of_their_own(self):
        for line, message in {
            "": "no command: write one of serve, config check",
            "strat": "unknown command 'strat'",
            "sheet": "'sheet' is incomplete: write one of sheet check, sheet diff",
            "sheet pull": "unknown command 'sheet pull'",
            "--verbose": "unknown option '--verbose' before the command",
            "status --verbose": "'status': unknown option '--verbose': write one of --help, --json",
            "sheet put a --exp 1": "unknown option '--exp'",
            "sheet put": "an argument is missing: write sheet put FILE",
            "serve": "an argument is missing: write serve --config FILE",
            "sheet check a b": "too many arguments: write sheet check FILE",
            "sheet put a --expect -1": "--expect is '-1'",
            "status --entry localhost:80": "'localhost' is no IP address",
            "status --entry": "--entry",
            "--version 1": "'--version' takes no argument",
            "explain": "'explain': an argument is missing: write explain ID LOG... | --queue QUEUE",
            "explain 5c0e7a21d94b36f8": "'explain': an argument is missing",
            "explain --queue short --job -": "'explain': an argument is missing",
            "explain id --queue short --job - --at 127.0.0.1": "'explain': too many arguments",
            "explain --class desk/urgent --queue short": "'explain': too many arguments",
            "explain --queue short --job - --at localhost": "'localhost' is no IP address",
        }.items():
            with self.subTest(line):
                self.expect(run(*line.split()), BAD_INPUT, message)

    def test_a_token_or_author_cannot_add_headers(self):
        self.expect(run("status", "--token", "a\r\nX-Author: b"), BAD_INPUT, "the token has")
        self.expect(run("status", MONSOONLEDGE_TOKEN="a\nb"), BAD_INPUT, "the token has")
        self.expect(run("sheet", "put", EXAMPLE, "--author", "a\nb"), BAD_INPUT, "the author has")

    def test_documents_are_checked_and_all_findings_printed(self):
        for path in ("examples/tatrasen.yaml", "examples/asociacion.yaml"):
            self.expect(run("sheet", "check", str(ROOT / path)), OK, "valid sheet")
        self.expect(run("config", "check", str(ROOT / "examples/entry.yaml")), OK,
                    "valid settings of entry process zilina1-a")
        with tempfile.NamedTemporaryFile("w", suffix=".yaml") as file:
            file.write("nmae: x\nteams: 3\n")
            file.flush()
            for command in (["sheet", "check"], ["sheet", "put"], ["sheet", "diff"]):
                result = run(*command, file.name)
                self.expect(result, BAD_INPUT, f"{file.name}:1:1: unknown key 'nmae'")
                self.assertIn(f"{file.name}:2:8: 'teams' is '3'", result.stderr)
            self.expect(run("config", "check", file.name), BAD_INPUT, "'entry' is missing")
            self.expect(run("serve", "--config", file.name), BAD_INPUT, "'entry' is missing")
        self.expect(run("sheet", "check", "/nonexistent"), BAD_INPUT, "/nonexistent: cannot be read")

    def test_diff_between_two_files(self):
        other = str(ROOT / "examples/asociacion.yaml")
        self.expect(run("sheet", "diff", EXAMPLE, "--against", EXAMPLE), OK, "no differences")
        self.expect(run("sheet", "diff", EXAMPLE, "--against", other), OK,
                    "sheet: name asociacion-2026-12-04 -> tatrasen-2026-12-04")

    def test_no_entry_process(self):
        with socket.socket() as bound:
            bound.bind(("127.0.0.1", 0))  # bound but not listening: connections are refused
            entry = f"127.0.0.1:{bound.getsockname()[1]}"
            for line in (["status"], ["sheet", "show"], ["sheet", "diff", EXAMPLE],
                         ["sheet", "put", EXAMPLE, "--expect", "1"]):
                result = run(*line, "--entry", entry)
                self.expect(result, UNREACHABLE, f"entry process {entry}: connection refused")
                self.assertNotIn("may have been carried out", result.stderr)

    def test_output_that_cannot_be_written_is_a_failure(self):
        with open("/dev/full", "w") as full:
            result = subprocess.run([PROGRAM, "--help"], stdout=full, stderr=subprocess.PIPE)
        self.assertEqual(result.returncode, FAILED)


class WithEntry(CommandLineCase):
    def setUp(self):
        self.entry = self.start_entry()
        text = pathlib.Path(EXAMPLE).read_text()
        self.sheet = {"revision": 7, "author": "jana", "acceptedAt": "2026-12-04T05:00:00Z",
                      "text": text.replace("floor: 0.5", "floor: 0.4"), "notInForce": ["martin-a"]}
        self.entry.responses["GET /v1/sheet"] = (200, self.sheet)

    def start_entry(self):
        entry = Entry()
        self.addCleanup(entry.server_close)
        self.addCleanup(entry.shutdown)
        return entry

    def call(self, *arguments, **environment):
        return run(*arguments, "--entry", self.entry.address, **environment)

    def put(self, status, body, *options):
        self.entry.responses["PUT /v1/sheet"] = (status, body)
        return self.call("sheet", "put", EXAMPLE, *options)

    def test_show(self):
        result = self.call("sheet", "show")
        self.expect(result, OK, "# revision 7, accepted 2026-12-04T05:00:00Z, author jana\n"
                                "# not yet in force on: martin-a\n")
        self.assertTrue(result.stdout.endswith(self.sheet["text"]))
        self.assertEqual(json.loads(self.call("sheet", "show", "--json").stdout), self.sheet)

    def test_diff_against_the_sheet_in_force(self):
        self.expect(self.call("sheet", "diff", EXAMPLE), OK,
                    "class strip-desk/renewal: floor 0.4 -> 0.5\n")
        self.entry.responses["GET /v1/sheet"] = (200, {"revision": 0, "text": ""})
        self.expect(self.call("sheet", "diff", EXAMPLE), OK, "service strip-desk: added")

    def test_put_sends_the_text_the_author_and_the_expected_revision(self):
        self.expect(self.put(200, {"revision": 8}, "--author", "Jana M"), OK,
                    "accepted as revision 8")
        method, path, headers, body = self.entry.requests[-1]
        self.assertEqual((method, path), ("PUT", "/v1/sheet?expect=7"))
        self.assertEqual(headers["x-author"], "Jana M")
        self.assertEqual(body, pathlib.Path(EXAMPLE).read_bytes())
        self.expect(self.put(200, {"revision": 6}, "--expect", "5"), OK)
        self.assertEqual(self.entry.requests[-1][1], "/v1/sheet?expect=5")

    def test_put_that_loses_a_race_names_the_winner(self):
        self.expect(self.put(409, {"error": "conflict", "revision": 9, "author": "iv\x1ban"}),
                    FAILED, "refused: revision 9 by iv?an is in force, not 7")

    def test_put_prints_the_findings_of_the_entry_process(self):
        finding = {"line": 41, "column": 5, "message": "can never run"}
        self.expect(self.put(400, {"findings": [finding]}), BAD_INPUT,
                    f"{EXAMPLE}:41:5: can never run")

    def test_other_refusals_are_failures(self):
        self.expect(self.put(503, {"error": "store is down"}), FAILED, "503: store is down")
        self.entry.responses["GET /v1/status"] = (401, {"error": "no token"})
        self.expect(self.call("status"), FAILED, "no token; set MONSOONLEDGE_TOKEN")
        self.entry.responses["GET /v1/status"] = (200, "<html>")
        self.expect(self.call("status"), FAILED, "no JSON object")

    def test_status_and_token(self):
        status = {"entry": "zilina1-a", "domain": "žilina", "ready": True, "units": [0, 1],
                  "peers": [{"entry": "martin-a", "domain": "martin", "up": False},
                            {"entry": "b", "domain": "trencin", "up": True}], "endpoints": []}
        self.entry.responses["GET /v1/status"] = (200, status)
        result = self.call("status", MONSOONLEDGE_TOKEN="secret-of-operator")
        self.expect(result, OK, "  ready      yes\n  units      0,1\n  endpoints  -\n")
        self.assertIn("\npeers\n  entry     domain   up\n  martin-a  martin   no\n"
                      "  b         trencin  yes\n", result.stdout)
        self.assertEqual(self.entry.requests[-1][2]["authorization"], "Bearer secret-of-operator")
        self.assertEqual(json.loads(self.call("status", "--json").stdout), status)

    def test_explain_asks_each_process_and_prints_its_findings(self):
        other = self.start_entry()
        placement = {"Task": 0, "Worker": "w1", "Zone": "a", "Labels": ["x", "r1"],
                     "FreeCpu": 1500, "FreeMemMb": 64, "Candidates": 2}
        steps = [{"Step": 0, "Count": 30, "Examined": 30, "Placed": 1, "Gang": False,
                  "Rule": "bestFit", "Placements": [placement],
                  "Obstacles": {"processors": 3, "draining": 1}}]
        coordinator = explanation("edge-a", IsCoordinator=True, StartsPaused=False, Steps=steps,
                                  ReportAgeMs=400, DelayMs=0, FreeCpu=1500, TotalCpu=64000)
        refusal = explanation("edge-b", Outcome="refuse", Reason="worthless", RetryAfterS=7)
        self.entry.responses["POST /explain"] = (200, coordinator)
        other.responses["POST /explain"] = (200, refusal)
        line = ["explain", "--queue", "short & co", "--job", EXAMPLE, "--at"]
        result = run(*line, self.entry.address, "--at", other.address, MONSOONLEDGE_TOKEN="secret")
        both = run(*line, self.entry.address, "--at", other.address, "--json")
        only_other = run(*line, other.address)
        self.expect(result, OK)
        first, second = f"{self.entry.address} edge-a: ", f"{other.address} edge-b: "
        self.assertEqual(result.stdout.splitlines(), [
            first + "would accept: free-capacity",
            first + "report for admission at most 400 ms old; first task expected to start after 0"
                    " ms; free 1.5 cores of 64 cores",
            first + "reaches the store; coordinator: edge-a (this process)",
            first + "step 0: 1 of 30 tasks find a worker; rule bestFit",
            first + "step 0 task 0: worker w1, zone a, labels x,r1, free 1.5 cores and 64 MiB;"
                    " best of 2",
            first + "step 0 task 1 and later: no worker; workers by reason: processors 3,"
                    " draining 1",
            second + "would refuse: worthless; Retry-After 7 s",
            second + "no report for admission; delay until the first task starts not known",
            second + "reaches the store; coordinator: edge-a"])
        method, path, headers, body = self.entry.requests[0]
        self.assertEqual((method, path), ("POST", "/explain?queue=short%20%26%20co"))
        self.assertEqual(body, pathlib.Path(EXAMPLE).read_bytes())
        self.assertNotIn("authorization", headers)  # the token is for the product's own interface
        self.assertEqual(json.loads(both.stdout), [coordinator, refusal])
        self.expect(only_other, OK, "none of these processes is the coordinator; ask edge-a for")

    def test_explain_names_each_error_with_its_place(self):
        def ask(body=b"{}", job="-"):
            return subprocess.run(
                [PROGRAM, "explain", "--queue", "short", "--job", job, "--at", self.entry.address],
                input=body, capture_output=True, timeout=30)

        for status, text, expected, place in [
                (400, {"error": "invalid JSON at byte 3"}, BAD_INPUT, "standard input: "),
                (404, {"error": "no such queue"}, BAD_INPUT, "queue 'short': "),
                (413, {"error": "body over 262144 bytes"}, BAD_INPUT, "standard input: "),
                (503, {"error": "the process is overloaded"}, FAILED, ""),
                (200, "<html>", FAILED, "")]:
            self.entry.responses["POST /explain"] = (status, text)
            result = ask()
            message = result.stderr.decode()
            self.assertEqual((result.returncode, result.stdout), (expected, b""), message)
            self.assertIn(f"monsoonledge: {place}", message)
            self.assertIn(self.entry.address, message)
            self.assertIn(text["error"] if isinstance(text, dict) else "is no JSON object; an entry process", message)
        self.assertEqual(ask(body=b"x" * 300000).returncode, BAD_INPUT)
        self.assertEqual(ask(job="/nonexistent").returncode, BAD_INPUT)
        # One process does not answer: the other answer is printed, and the status is not 0.
        self.entry.responses["POST /explain"] = (200, explanation("edge-b"))
        with socket.socket() as bound:
            bound.bind(("127.0.0.1", 0))
            silent = f"127.0.0.1:{bound.getsockname()[1]}"
            result = run("explain", "--queue", "short", "--job", EXAMPLE, "--at", silent,
                         "--at", self.entry.address)
        self.assertEqual(result.returncode, UNREACHABLE)
        self.assertIn(f"entry process {silent}: connection refused", result.stderr)
        self.assertNotIn("may have been carried out", result.stderr)
        self.assertIn("edge-b: would accept", result.stdout)

    def test_explain_of_a_request_names_the_endpoint_and_the_reasons(self):
        endpoint = {"host": "w1", "ownSlots": 8, "running": 2, "latencyMs": 12.5, "errorRate": 0.0}
        answer = {"entry": "a", "class": "desk/urgent", "queued": 3, "candidates": 4,
                  "obstacles": {"leaving": 1}, "endpoint": endpoint}
        self.entry.responses["GET /v1/explain"] = (200, answer)
        result = self.call("explain", "--class", "desk/urgent")
        place = f"{self.entry.address} a: "
        self.expect(result, OK, place + "class desk/urgent: 3 requests wait\n" + place + "endpoint"
                    " w1, 2 of 8 own slots in use, latency 12.5 ms, error rate 0; the better of"
                    " two drawn from 4\n" + place + "endpoints by what keeps a request from them:"
                    " leaving 1\n")
        self.assertEqual(self.entry.requests[-1][1], "/v1/explain?class=desk%2Furgent")
        del answer["endpoint"]
        self.expect(self.call("explain", "--class", "desk/urgent"), OK, "no endpoint can take")
        self.entry.responses["GET /v1/explain"] = (404, {"error": "no such class"})
        self.expect(self.call("explain", "--class", "x"), FAILED, "no such class")

    def test_burn_report_adds_the_sums_of_all_entries_and_names_the_missing(self):
        second = self.start_entry()
        self.entry.responses["GET /v1/burn"] = (200, burn("a/1", 900, 10, "x"))
        second.responses["GET /v1/burn"] = (200, burn("b/1", 100, 20, "x<y\x1b"))
        both = ["report", "burn", "--entry", self.entry.address, "--entry", second.address]
        result = run(*both)
        self.expect(result, OK, "entry processes: a/1,b/1; sheet revision 3\n\nservice desk\n")
        # 30 of 1,000 are bad, 10 are permitted: burn rate 3, and -200% of the budget is left.
        self.assertRegex(result.stdout, r"desk/urgent +99.00% +97.00% +-200.00% +3.00 +3.00 +3.00"
                                        r" +3.00 +1000 +30 +0 +0\n")
        self.assertRegex(result.stdout, r"desk/urgent +x<y\? +20 +20 +20 +0 +0\n")
        merged = json.loads(run(*both, "--json").stdout)
        self.assertEqual(merged["classes"][0]["windows"]["6h"]["total"], 1000)
        again = run(*both, "--entry", second.address)
        self.expect(again, OK)
        self.assertEqual(again.stdout, result.stdout)
        self.assertIn("counted once", again.stderr)
        second.responses["GET /v1/burn"] = (200, "<html>")
        partial = run(*both, "--json")
        self.assertEqual(partial.returncode, UNREACHABLE)
        self.assertIn(f"not in the report: {second.address}: ", partial.stderr)
        partial = json.loads(partial.stdout)
        self.assertEqual(partial["classes"][0]["windows"]["6h"]["total"], 900)
        self.assertIn(second.address, partial["notReached"][0])

    def test_burn_report_as_a_page_and_its_wrong_options(self):
        self.entry.responses["GET /v1/burn"] = (200, burn("a/1", 900, 10, "<script>"))
        with tempfile.TemporaryDirectory() as folder:
            page = pathlib.Path(folder) / "burn.html"
            self.expect(self.call("report", "burn", "--html", str(page)), OK)
            self.assertIn("&lt;script&gt;", page.read_text())
            self.assertNotIn("<script", page.read_text())
        self.expect(self.call("report", "burn", "--html", "/nonexistent/x"), FAILED, "cannot write")
        self.expect(self.call("report", "burn", "--html", "x", "--json"), BAD_INPUT, "exclude")
        self.expect(self.call("status", "--entry", self.entry.address), BAD_INPUT, "'status'")
        self.entry.responses["GET /v1/burn"] = (401, {"error": "no token"})
        self.expect(self.call("report", "burn"), UNREACHABLE, "no token; set MONSOONLEDGE_TOKEN")


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    options, rest = parser.parse_known_args()
    PROGRAM = str(pathlib.Path(options.build).resolve() / "monsoonledge")
    unittest.main(argv=[sys.argv[0], *rest])
