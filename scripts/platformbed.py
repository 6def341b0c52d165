"""Runs entry processes on stand-ins of the users' platform, on loopback: its store, its workers and
their registry. Each process has an address of 127.0.77.0/24 of its own, as hosts have.

The text of a job says how its tasks behave: "ms=N" is the duration of a run, "fail=N" makes the first N
runs of each task fail."""
import argparse
import base64
import collections
import http.client
import http.server
import json
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

HOST = "desk.example"
CLIENT_PORT = 8161
READINESS_PORT = 8167
MAX_LEASE_MS = 6000
CONFIG = {
    "ConfigVersion": 1,
    "Routes": [{"Name": "renewal", "Host": HOST, "Prefix": "/renewal/", "RouteType": "non_idempotent",
                "TimeoutMs": 3000, "TargetLatencyMs": 300, "Priority": 0, "Service": "desk",
                "MaxAttempts": 3, "SlackFactor": 1.5}],
    "Services": [{"Name": "desk", "AdmissionControl": True, "Standby": False}],
    "Limits": {},
}


class JsonHandler(http.server.BaseHTTPRequestHandler):
    """Passes each call to `server.owner.serve(method, path, query, body)`, which returns a status and
    a body, or None for no answer at all."""
    protocol_version = "HTTP/1.1"

    def handle_call(self):
        url = urllib.parse.urlsplit(self.path)
        length = int(self.headers.get("Content-Length") or 0)
        body = json.loads(self.rfile.read(length)) if length else {}
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
        answer = self.server.owner.serve(self.command, url.path, query, body)
        if answer is None:
            self.close_connection = True
            return
        data = json.dumps(answer[1]).encode()
        self.send_response(answer[0])
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        try:
            self.end_headers()
            self.wfile.write(data)
        except (BrokenPipeError, ConnectionResetError):
            self.close_connection = True  # the caller was killed or has stopped waiting

    do_GET = do_POST = do_DELETE = handle_call

    def log_message(self, *arguments):
        pass


class StandIn:
    """An HTTP server on a free port, one thread for each connection."""

    def __init__(self, ip="127.0.77.1"):
        self.lock = threading.Condition()
        http.server.ThreadingHTTPServer.request_queue_size = 128
        self.server = http.server.ThreadingHTTPServer((ip, 0), JsonHandler)
        self.server.daemon_threads = True
        self.server.owner = self
        self.address = "%s:%d" % self.server.server_address
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def close(self):
        self.server.shutdown()
        self.server.server_close()


class Store(StandIn):
    """Transactions, leases, paging and watches; `fault` is None, "refuse" or "lose" (changes are made
    and not answered)."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 1
        self.leases = {}
        self.fault = None
        super().__init__()
        threading.Thread(target=self.expire, daemon=True).start()

    def put(self, key, value, lease=0):
        with self.lock:
            self.revision += 1
            self.write(key, base64.b64encode(json.dumps(value).encode()).decode(), lease)

    def write(self, key, value, lease):
        created = self.items[key]["Created"] if key in self.items else self.revision
        item = {"Key": key, "Value": value, "Revision": self.revision, "Created": created,
                "Lease": lease}
        self.items[key] = item
        self.history.append(item)
        self.lock.notify_all()

    def remove(self, key):
        if self.items.pop(key, None):
            self.history.append({"Key": key, "Revision": self.revision, "Deleted": True})
            self.lock.notify_all()

    def expire(self):
        while True:
            time.sleep(0.02)
            with self.lock:
                now = time.monotonic()
                for lease in [name for name, end in self.leases.items() if end[1] < now]:
                    self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None):
            self.revision += 1
            for key in [key for key, item in self.items.items() if item["Lease"] == lease]:
                self.remove(key)

    def serve(self, method, path, query, body):
        if self.fault == "refuse":
            return 503, {}
        with self.lock:
            answer = self.act(method, path, query, body)
        return None if self.fault == "lose" and path == "/-/kv-txn" else answer

    def act(self, method, path, query, body):
        name = path[len("/-/"):]
        if name == "kv-key":
            item = self.items.get(query["Key"])
            return (200, dict(item, At=self.revision)) if item else (404, {})
        if name == "kv-range":
            keys = sorted(key for key in self.items if key.startswith(query["Prefix"])
                          and key > query.get("After", ""))
            return 200, {"items": [self.items[key] for key in keys[:20]], "HasMore": len(keys) > 20,
                         "At": self.revision}
        if name == "kv-watch":
            return self.watch(query)
        if name == "kv-txn":
            return self.transact(body)
        if name == "kv-lease":
            lease = len(self.history) + self.revision * 1000 + len(self.leases) + 1
            self.leases[lease] = (body["TtlMs"], time.monotonic() + body["TtlMs"] / 1000)
            return 200, {"Lease": lease, "TtlMs": body["TtlMs"]}
        lease = int(name.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if name.startswith("kv-lease-end/"):
            self.end_lease(lease)
            return 200, {}
        ttl = self.leases[lease][0]
        self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
        return 200, {"TtlMs": ttl}

    def watch(self, query):
        end = time.monotonic() + int(query["WaitMs"]) / 1000
        while True:
            events = [event for event in self.history if event["Revision"] > int(query["After"])
                      and event["Key"].startswith(query["Prefix"])]
            remaining = end - time.monotonic()
            if events or remaining <= 0:
                return 200, {"events": events, "At": self.revision}
            self.lock.wait(remaining)

    def transact(self, body):
        revisions = {row["Key"]: self.items.get(row["Key"], {"Revision": 0})["Revision"]
                     for row in body["Expected"]}
        if any(revisions[row["Key"]] != row["Revision"] for row in body["Expected"]):
            return 412, {"items": [self.items.get(key, {"Key": key, "Revision": 0})
                                   for key in revisions]}
        if any(put.get("Lease", 0) and put["Lease"] not in self.leases for put in body["Puts"]):
            return 404, {}
        self.revision += 1
        for put in body["Puts"]:
            self.write(put["Key"], put["Value"], put.get("Lease", 0))
        for key in body["Remove"]:
            self.remove(key)
        return 200, {"Revision": self.revision}


class StoreGate(StandIn):
    """The store as one host sees it; `fault` is None or "refuse"."""

    def __init__(self, store):
        self.store = store
        self.fault = None
        super().__init__()

    def serve(self, method, path, query, body):
        return (503, {}) if self.fault == "refuse" else self.store.serve(method, path, query, body)


class Worker(StandIn):
    """Runs tasks in its own time, and notes what must not happen."""
    findings = []
    starts = collections.Counter()
    running_anywhere = collections.Counter()

    def __init__(self, name, store):
        self.name = name
        self.token = 0
        self.lease_end = 0
        self.running = {}
        self.barred = {}
        self.finished = []
        self.last = 0
        self.began = time.monotonic()
        self.born = int(time.time() * 1000)
        super().__init__()
        self.entry = {"Service": "desk", "Address": self.address, "Zone": "a", "ConfigVersion": "v1",
                      "Slots": 8, "State": "ready", "WarmupLeftMs": 0, "born": self.born,
                      "Capacity": {"Cpu": 4000, "MemMb": 8000, "Gpu": 0}, "Labels": ["a", "r1"],
                      "ClockMs": self.clock(), "Sequence": 1}
        self.store = store
        store.put("servers/" + name, self.entry)
        threading.Thread(target=self.work, daemon=True).start()

    def clock(self):
        return 100000 + int((time.monotonic() - self.began) * 1000)

    def drain(self):
        self.entry["State"] = "draining"
        self.store.put("servers/" + self.name, self.entry)

    def work(self):
        while True:
            time.sleep(0.01)
            with self.lock:
                now = self.clock()
                for task, run in list(self.running.items()):
                    if now >= run["end"]:
                        self.finish(task, "failed" if run["fails"] else "done")
                    elif now >= self.lease_end:
                        self.finish(task, "lapsed")

    def finish(self, task, how):
        run = self.running.pop(task)
        Worker.running_anywhere[task] -= 1
        self.barred[task] = max(self.barred.get(task, 0), run["attempt"])
        self.last += 1
        self.finished.append([self.last, task, run["attempt"], how, ""])
        self.lock.notify_all()

    def serve(self, method, path, query, body):
        with self.lock:
            if body.get("FencingToken", 0) < self.token:
                return 409, {"ClockMs": self.clock(), "Reason": "fence"}
            self.token = body["FencingToken"]
            if path == "/-/run-start":
                return self.start(body)
            if path == "/-/run-stop":
                return self.stop(body)
            if path == "/-/hold":
                return self.hold(body)
            return 200, {"ClockMs": self.clock()}

    def start(self, body):
        task, attempt = body["Task"], body["Attempt"]
        if task in self.running and self.running[task]["attempt"] == attempt:
            return 200, {"ClockMs": self.clock()}
        if attempt <= self.barred.get(task, 0):
            return 409, {"ClockMs": self.clock(), "Reason": "old"}
        if body["DeadlineMs"] <= self.clock():
            return 409, {"ClockMs": self.clock(), "Reason": "late"}
        if len(self.running) >= 4:
            return 409, {"ClockMs": self.clock(), "Reason": "room"}
        self.extend(body["DeadlineMs"])
        if Worker.running_anywhere[task] > 0:
            Worker.findings.append("two runs at the same time: " + task)
        Worker.running_anywhere[task] += 1
        Worker.starts[task] += 1
        numbers = dict(re.findall(r"(\w+)=(\d+)", body["TaskSpec"]))
        self.running[task] = {"attempt": attempt, "end": self.clock() + int(numbers.get("ms", 100)),
                              "fails": Worker.starts[task] <= int(numbers.get("fail", 0))}
        return 200, {"ClockMs": self.clock(), "born": self.born}

    def stop(self, body):
        run = self.running.get(body["Task"])
        if run and run["attempt"] == body["Attempt"]:
            self.finish(body["Task"], "stopped")
        self.barred[body["Task"]] = max(self.barred.get(body["Task"], 0), body["Attempt"])
        return 200, {"ClockMs": self.clock()}

    def extend(self, deadline):
        self.lease_end = max(self.lease_end, min(deadline, self.clock() + MAX_LEASE_MS))

    def hold(self, body):
        if "DeadlineMs" in body:
            self.extend(body["DeadlineMs"])
        self.finished = [row for row in self.finished if row[0] > body.get("AckCursor", 0)]
        end = time.monotonic() + body.get("WaitMs", 0) / 1000
        while not self.finished and time.monotonic() < end:
            self.lock.wait(end - time.monotonic())
        running = [[task, run["attempt"], "", 50, 100] for task, run in self.running.items()]
        return 200, {"ClockMs": self.clock(), "born": self.born, "Running": running,
                     "Finished": self.finished}


class Entry:
    """One entry process with a settings file of its own."""

    def __init__(self, program, folder, index, store, has_relay=False):
        self.ip = f"127.0.77.{10 + index}"
        self.name = f"edge-{index}"
        self.log = folder / f"{self.name}.log"
        settings = folder / f"{self.name}.yaml"
        relay = [f'Ip: "{self.ip}"', 'InternalPortRange: "8170-8179"'] if has_relay else []
        settings.write_text("\n".join([
            f'NodeName: "{self.name}"', 'Zone: "a"', "ListenAddresses:",
            f'  Frontend: "{self.ip}:{CLIENT_PORT}"', f'  Readiness: "{self.ip}:{READINESS_PORT}"',
            "Limits:", "  CpuShare: 1", "Bounds:", "  GracePeriodS: 6", "  MaxHoldMs: 6000",
            "  status_s: 120", "platform:", f'  Address: "{store.address}"', *relay, ""]))
        self.command = [str(program), "platform", "serve"]
        self.environment = {"MONSOONLEDGE_SETTINGS": str(settings), "MONSOONLEDGE_RELAY": "on"}
        self.start()

    def start(self):
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(self.command, env=self.environment, stdout=log, stderr=log)

    def call(self, method, path, body=None, timeout=5, host=HOST):
        """Returns (status, JSON), or (0, None) if there was no whole answer."""
        connection = http.client.HTTPConnection(self.ip, CLIENT_PORT, timeout=timeout)
        try:
            data = body if isinstance(body, (bytes, type(None))) else json.dumps(body)
            connection.request(method, path, data, {"Host": host, "Content-Type": "application/json"})
            response = connection.getresponse()
            text = response.read()
            return response.status, json.loads(text) if text else None
        except (OSError, http.client.HTTPException, ValueError):
            return 0, None
        finally:
            connection.close()

    def is_ready(self):
        connection = http.client.HTTPConnection(self.ip, READINESS_PORT, timeout=2)
        try:
            connection.request("GET", "/-/readiness")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def metrics(self):
        connection = http.client.HTTPConnection(self.ip, 9464, timeout=2)
        try:
            connection.request("GET", "/metrics")
            return connection.getresponse().read().decode()
        finally:
            connection.close()

    def is_coordinator(self):
        return self.process.poll() is None and "monsoonledge_coordinator 1" in self.metrics()

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        self.process.kill()
        self.process.wait()


class PlatformBed:
    """The store, some workers and some entry processes."""

    def __init__(self, build, entries=3, workers=4, has_relays=False):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="platformbed-"))
        Worker.findings.clear()
        Worker.starts.clear()
        Worker.running_anywhere.clear()
        self.store = Store()
        self.store.put("op/config", CONFIG)
        self.workers = [Worker(f"w{i}", self.store) for i in range(workers)]
        program = pathlib.Path(build) / "monsoonledge"
        # With relays, the store can reject each host by itself.
        self.gates = [StoreGate(self.store) for _ in range(entries)] if has_relays else []
        stores = self.gates or [self.store] * entries
        self.entries = [Entry(program, self.folder, i, store, has_relays)
                        for i, store in enumerate(stores)]

    def wait(self, condition, what, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.05)
        logs = "\n".join(entry.log.read_text()[-1500:] for entry in self.entries)
        raise AssertionError(f"{what} took over {seconds} s; logs:\n{logs}")

    def wait_ready(self):
        self.wait(lambda: all(entry.is_ready() for entry in self.entries)
                  and self.coordinator() is not None, "getting ready")

    def coordinator(self):
        return next((entry for entry in self.entries if entry.is_coordinator()), None)

    def state(self, job, entry=0):
        status, body = self.entries[entry].call("GET", f"/renewal/{job}")
        return body["State"] if status == 200 else status

    def close(self):
        for entry in self.entries:
            if entry.process.poll() is None:
                entry.kill()
        for stand_in in [*self.workers, *self.gates, self.store]:
            stand_in.close()


def job_id(number):
    return f"{number:016x}"


def job(tasks=4, text="ms=100", **fields):
    return {"TaskSpec": text,
            "Steps": [dict({"Count": tasks, "Cpu": 500, "MemMb": 100, "EstimatedMs": 100}, **fields)]}


def run_test(scenario, **options):
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    parser.add_argument("--known-red", action="store_true",
                        help="run the check that KNOWN-RED.txt lists, and no later ones")
    arguments = parser.parse_args()
    bed = PlatformBed(arguments.build, **options)
    bed.known_red = arguments.known_red
    try:
        bed.wait_ready()
        scenario(bed)
        assert not Worker.findings, Worker.findings
        print("passed")
    finally:
        bed.close()
    sys.exit(0)
