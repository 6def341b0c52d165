"""Stand-ins of the platform, its workers and its clients for the scripts of the second review, and the
start of the program under test as the deploy file runs it. Everything listens on loopback addresses."""
import atexit
import base64
import bisect
import collections
import hashlib
import http.client
import http.server
import json
import os
import pathlib
import select
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
PROGRAM = ROOT / "target" / "monsoonledge"
HOST = "desk.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
VALUE_BYTES = 1048576
PAGE = 500  # items of one answer to kv-range
BEGIN = time.monotonic()
# The program takes its metrics port as it is, so each run has loopback addresses of its own.
NET = "127.%d.%d." % (100 + os.getpid() % 100, 1 + os.getpid() // 100 % 250)


def seconds():
    return time.monotonic() - BEGIN


class Record:
    """What was sent, answered and run, with the seconds since the script began."""

    def __init__(self, folder):
        self.lock = threading.Lock()
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.counted_job = None  # the runs of this job are counted and not written
        self.counts = collections.Counter()

    def write_run(self, what, worker, task, *words):
        """Notes what has become of a run."""
        if self.counted_job and task.startswith(self.counted_job):
            with self.lock:
                self.counts[what] += 1
        else:
            self.write(what, worker, task, *words)

    def write(self, *words):
        with self.lock:
            self.file.write("%8.3f " % seconds() + " ".join(str(word) for word in words) + "\n")
            self.file.flush()


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    wbufsize = -1

    def serve(self):
        url = urllib.parse.urlsplit(self.path)
        length = int(self.headers.get("Content-Length") or 0)
        text = self.rfile.read(length) if length else b""
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
        answer = self.server.owner.serve(self.command, url.path, query,
                                         json.loads(text) if text else {}, self.headers)
        if answer is None:  # no answer; the connection returns nothing further
            self.server.owner.hold_silent(self.connection)
            self.close_connection = True
            return
        data = json.dumps(answer[1]).encode()
        try:
            self.send_response_only(answer[0])
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)
            self.wfile.flush()
        except OSError:
            self.close_connection = True

    do_GET = do_POST = do_DELETE = serve

    def setup(self):
        self.request.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().setup()

    def handle(self):
        try:
            super().handle()
        except OSError:
            pass  # the caller was killed or has closed the connection

    def log_message(self, *arguments):
        pass


class Server(http.server.ThreadingHTTPServer):
    request_queue_size = 512
    daemon_threads = True

    def handle_error(self, request, client_address):
        pass


class StandIn:
    def __init__(self, ip):
        self.lock = threading.Condition()
        self.server = Server((ip, 0), Handler)
        self.server.owner = self
        self.address = "%s:%d" % self.server.server_address
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def hold_silent(self, connection):
        """Waits until the caller closes the connection."""
        try:
            connection.settimeout(20)
            connection.recv(1)
        except OSError:
            pass


class Store(StandIn):
    """The platform's store. `latency` is the time of an answer. `hook(method, path, query, body)` may
    return "lose" (done and not answered), a number of seconds ("late": not answered, and done so much
    later if the condition still holds), "silent" (nothing is done) or a status that refuses the call."""

    def __init__(self, ip=NET + "1"):
        self.items = {}
        self.history = []
        self.revisions = []
        self.compacted = 0
        self.revision = 1
        self.leases = {}
        self.last_lease = 0
        self.latency = 0.004
        self.hook = None
        self.mute_watches = False
        self.refused_values = 0  # writes of a value over the limit
        self.trace = None  # called with the name of the call, its query and its body
        super().__init__(ip)
        threading.Thread(target=self.expire, daemon=True).start()

    def put(self, key, value):
        with self.lock:
            self.revision += 1
            self.write(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)

    def delete(self, key):
        with self.lock:
            if key in self.items:
                self.revision += 1
                self.remove(key)

    def add_event(self, event):
        self.history.append(event)
        self.revisions.append(event["Revision"])
        self.lock.notify_all()

    def write(self, key, value, lease):
        created = self.items[key]["Created"] if key in self.items else self.revision
        self.items[key] = {"Key": key, "Value": value, "Revision": self.revision, "Created": created,
                           "Lease": lease}
        self.add_event(self.items[key])

    def remove(self, key):
        if self.items.pop(key, None):
            self.add_event({"Key": key, "Revision": self.revision, "Deleted": True})

    def compact(self):
        """Discards the history and cuts the watches that wait."""
        with self.lock:
            self.compacted = self.revision
            self.history.clear()
            self.revisions.clear()
            self.lock.notify_all()

    def expire(self):
        while True:
            time.sleep(0.02)
            with self.lock:
                now = time.monotonic()
                for lease in [name for name, (ttl, end) in self.leases.items() if end < now]:
                    self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None):
            self.revision += 1
            for key in [key for key, item in self.items.items() if item["Lease"] == lease]:
                self.remove(key)

    def serve(self, method, path, query, body, headers):
        action = self.hook(method, path, query, body) if self.hook else None
        if action == "silent":
            return None
        if isinstance(action, float):
            threading.Timer(action, self.act_locked, (method, path, query, body)).start()
            return None
        if isinstance(action, int):
            return action, {}
        answer = self.act_locked(method, path, query, body)
        if action == "lose":
            return None
        time.sleep(self.latency)
        return answer

    def act_locked(self, method, path, query, body):
        with self.lock:
            return self.act(method, path[len("/-/"):], query, body)

    def act(self, method, name, query, body):
        if self.trace:
            self.trace(name, query, body)
        if name == "kv-key":
            item = self.items.get(query["Key"])
            return (200, dict(item, At=self.revision)) if item else (404, {})
        if name == "kv-range":
            keys = sorted(key for key in self.items if key.startswith(query["Prefix"])
                          and key > query.get("After", ""))
            return 200, {"items": [self.items[key] for key in keys[:PAGE]],
                         "HasMore": len(keys) > PAGE, "At": self.revision}
        if name == "kv-watch":
            return self.watch(query["Prefix"], int(query["After"]), int(query["WaitMs"]) / 1000)
        if name == "kv-txn":
            return self.transact(body)
        if name == "kv-lease":
            self.last_lease += 1
            ttl = max(body["TtlMs"], 1000)
            self.leases[self.last_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"Lease": self.last_lease, "TtlMs": ttl}
        lease = int(name.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if name.startswith("kv-lease-end/"):
            self.end_lease(lease)
            return 200, {}
        ttl = self.leases[lease][0]
        self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
        return 200, {"Lease": lease, "TtlMs": ttl}

    def watch(self, prefix, after, wait):
        end = time.monotonic() + wait
        while True:
            if after < self.compacted:
                return 410, {}
            begin = bisect.bisect_right(self.revisions, after)
            events = [] if self.mute_watches else [
                event for event in self.history[begin:] if event["Key"].startswith(prefix)]
            remaining = end - time.monotonic()
            if events or remaining <= 0:
                # A mute watch does not move on, so that nothing is left out.
                return 200, {"events": events, "At": after if self.mute_watches else self.revision}
            self.lock.wait(remaining)

    def transact(self, body):
        expected = {row["Key"]: row["Revision"] for row in body.get("Expected", [])}
        present = {key: self.items.get(key, {"Key": key, "Revision": 0}) for key in expected}
        if any(present[key]["Revision"] != revision for key, revision in expected.items()):
            return 412, {"items": list(present.values())}
        puts = body.get("Puts", [])
        if any(put.get("Lease", 0) and put["Lease"] not in self.leases for put in puts):
            return 404, {}
        if any(len(put["Value"]) * 3 // 4 > VALUE_BYTES for put in puts):
            self.refused_values += 1
            return 400, {}
        self.revision += 1
        for put in puts:
            self.write(put["Key"], put["Value"], put.get("Lease", 0))
        for key in body.get("Remove", []):
            self.remove(key)
        return 200, {"Revision": self.revision}


class Worker(StandIn):
    """A worker that runs each task for the `ms=N` of its TaskSpec. `hook(path, body)` may return "late"
    pairs as Store's hook: "lose" or a number of seconds."""

    def __init__(self, name, store, record, ip=NET + "2", cpu=16000, rack="r1"):
        self.name, self.store, self.record = name, store, record
        self.hook = None
        self.up = True
        self.reset()
        super().__init__(ip)
        self.entry = {"Service": "desk", "Address": self.address, "Zone": "a", "ConfigVersion": "v1",
                      "Slots": 8, "State": "ready", "Capacity": {"Cpu": cpu, "MemMb": 64000},
                      "Labels": ["a", rack]}
        self.register()
        threading.Thread(target=self.work, daemon=True).start()

    def reset(self):
        """The beginning of a life: nothing is known of before."""
        self.token, self.lease_end, self.last = 0, 0, 0
        self.running, self.barred, self.finished = {}, {}, []
        self.began = time.monotonic()
        self.born = int(time.time() * 1000)

    def crash(self):
        """Ends all runs at once. The machine answers nothing from then on."""
        with self.lock:
            self.up = False
            for task in list(self.running):
                self.finish(task, "crashed")

    def register(self):
        self.store.put("servers/" + self.name, dict(self.entry, born=self.born, ClockMs=self.clock()))

    def clock(self):
        return 1000 + int((time.monotonic() - self.began) * 1000)

    def work(self):
        while True:
            time.sleep(0.01)
            with self.lock:
                now = self.clock()
                for task, run in list(self.running.items()):
                    if now >= run["end"]:
                        self.finish(task, "done")
                    elif now >= self.lease_end:
                        self.finish(task, "lapsed")

    def finish(self, task, how):
        run = self.running.pop(task)
        self.barred[task] = max(self.barred.get(task, 0), run["attempt"])
        self.last += 1
        self.finished.append([self.last, task, run["attempt"], how, ""])
        self.record.write_run("end", self.name, task, run["attempt"], how)
        self.lock.notify_all()

    def serve(self, method, path, query, body, headers):
        if not self.up:
            return None
        if headers.get("Expect-Instance") not in (None, self.name):
            return 421, {}
        action = self.hook(path, body) if self.hook else None
        if isinstance(action, float):
            threading.Timer(action, self.act, (path, body)).start()
            return None
        answer = self.act(path, body)
        return None if action == "lose" else answer

    def act(self, path, body):
        with self.lock:
            if body.get("FencingToken", 0) < self.token:
                return 409, {"ClockMs": self.clock(), "Reason": "fence"}
            self.token = body.get("FencingToken", 0)
            if path == "/-/run-start":
                return self.start(body)
            if path == "/-/run-stop":
                return self.stop(body)
            if path == "/-/hold":
                return self.hold(body)
            return 200, {"ClockMs": self.clock()}

    def start(self, body):
        task, attempt = body["Task"], body["Attempt"]
        now = self.clock()
        if task in self.running and self.running[task]["attempt"] == attempt:
            return 200, {"ClockMs": now}
        if attempt <= self.barred.get(task, 0) or task in self.running:
            return 409, {"ClockMs": now, "Reason": "old"}
        if body["DeadlineMs"] <= now:
            return 409, {"ClockMs": now, "Reason": "late"}
        self.extend(body["DeadlineMs"])
        numbers = dict(word.split("=") for word in body["TaskSpec"].split() if "=" in word)
        self.running[task] = {"attempt": attempt, "end": now + int(numbers.get("ms", 100))}
        self.record.write_run("start", self.name, task, attempt)
        return 200, {"ClockMs": now}

    def stop(self, body):
        run = self.running.get(body["Task"])
        if run and run["attempt"] == body["Attempt"]:
            self.finish(body["Task"], "stopped")
        self.barred[body["Task"]] = max(self.barred.get(body["Task"], 0), body["Attempt"])
        return 200, {"ClockMs": self.clock()}

    def extend(self, deadline):
        self.lease_end = max(self.lease_end, min(deadline, self.clock() + 6000))

    def hold(self, body):
        if "DeadlineMs" in body:
            self.extend(body["DeadlineMs"])
        cursor = body.get("AckCursor", 0)
        for row in self.finished:
            if row[0] <= cursor:
                self.record.write_run("noted", self.name, row[1], row[2], row[3])
        self.finished = [row for row in self.finished if row[0] > cursor]
        end = time.monotonic() + min(body.get("WaitMs", 0), 2000) / 1000
        while not self.finished and time.monotonic() < end:
            self.lock.wait(end - time.monotonic())
        return 200, {"ClockMs": self.clock(), "born": self.born,
                     "Running": [[task, run["attempt"], "", 50, 500]
                                 for task, run in self.running.items()],
                     "Finished": self.finished[:500]}


class Gate:
    """One machine's path to the store. While it is cut, nothing passes and nothing is answered; what was
    held up is dropped when the sender closes its connection."""

    def __init__(self, target, ip):
        self.target = target
        self.is_cut = threading.Event()
        self.server = socket.create_server((ip, 0), backlog=128)
        self.address = "%s:%d" % self.server.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            client, _ = self.server.accept()
            threading.Thread(target=self.connect, args=(client,), daemon=True).start()

    def connect(self, client):
        self.wait_open(client)
        host, port = self.target.split(":")
        try:
            store = socket.create_connection((host, int(port)))
        except OSError:
            client.close()
            return
        for side in (client, store):
            side.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self.pump, args=(client, store), daemon=True).start()
        self.pump(store, client)

    def wait_open(self, client):
        while self.is_cut.is_set():
            time.sleep(0.01)

    def pump(self, source, sink):
        try:
            while data := source.recv(65536):
                if self.is_cut.is_set():
                    self.wait_open(source)
                    if select.select([source], [], [], 0)[0] and not source.recv(1, socket.MSG_PEEK):
                        break  # the sender has closed the connection meanwhile
                sink.sendall(data)
        except OSError:
            pass
        for side in (source, sink):
            try:
                side.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


BOUNDS = """  SeedLagS: 3
  AddressReuseS: 2
  ContactMs: 3000
  AckTimeoutMs: 4000
  CatchUpS: 4
  DrainTimeoutMs: 2000
  GracePeriodS: 6
  LossSlackMs: 200
  ConfigApplyMs: 2000
  RollbackSlackMs: 250
  MaxExtensionMs: 5000
  RecoveryS: 12
  MaxHoldMs: 6000
  StopTimeoutMs: 900
  GangTimeoutMs: 3000
  cancel_ms: 3000
  visible_ms: 3000
  early_ms: 250
  finish_s: 14
  status_s: %d
  FencingEnforced: false
  LeaseTtlMs: 3000
"""


class Entry:
    """One entry process, started as deploy/system.toml says."""

    def __init__(self, folder, index, store, status_s=120):
        self.index = index
        self.ip = NET + str(10 + index)
        self.name = "edge-a-%d" % (index + 1)
        self.log = folder / (self.name + ".log")
        settings = folder / (self.name + ".yaml")
        settings.write_text(
            f'NodeName: "{self.name}"\nRole: "entry"\nMachineClass: "edge"\nIp: "{self.ip}"\nZone: "a"\n'
            f'ListenAddresses:\n  Frontend: "{self.ip}:8161"\n  Readiness: "{self.ip}:8167"\n'
            f'InternalPortRange:\n  - 7720\n  - 7735\nLimits:\n  CpuShare: 0.25\n  CpuCores: 1\n'
            f'  MemoryMb: 260\n  MaxFds: 4100\nOrders: "invocation"\nBounds:\n{BOUNDS % status_s}'
            f'platform:\n  Address: "{store.address}"\n  form: "kv"\n  ValueBytes: {VALUE_BYTES}\n')
        self.environment = {"PATH": os.environ.get("PATH", ""), "MONSOONLEDGE_RELAY": "on",
                            "MONSOONLEDGE_SETTINGS": str(settings)}
        self.start()

    def start(self):
        with self.log.open("ab") as log:
            self.process = subprocess.Popen([str(PROGRAM), "platform", "serve"], cwd=ROOT,
                                            env=self.environment, stdout=log, stderr=log)

    def call(self, method, path, body=None, timeout=3.0, headers=None):
        """Returns (status, JSON), or (0, None) without a complete answer."""
        connection = http.client.HTTPConnection(self.ip, 8161, timeout=timeout)
        try:
            data = json.dumps(body) if body is not None else None
            connection.request(method, path, data, dict(
                {"Host": HOST, "Content-Type": "application/json",
                 "Deadline-Ms": str(int(timeout * 1000))}, **(headers or {})))
            response = connection.getresponse()
            text = response.read()
            return response.status, json.loads(text) if text else None
        except (OSError, http.client.HTTPException, ValueError):
            return 0, None
        finally:
            connection.close()

    def get(self, port, path):
        connection = http.client.HTTPConnection(self.ip, port, timeout=2)
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            return response.status, response.read().decode()
        except (OSError, http.client.HTTPException):
            return 0, ""
        finally:
            connection.close()

    def is_ready(self):
        return self.get(8167, "/-/readiness")[0] == 200

    def is_coordinator(self):
        return self.process.poll() is None and "monsoonledge_coordinator 1" in self.get(9464, "/metrics")[1]


class Bed:
    def __init__(self, folder, entries=3, workers=6, status_s=120, worker_names=None):
        if not PROGRAM.exists():
            print("the build of the deploy file is missing")
            sys.exit(2)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review2-"))
        self.record = Record(folder)
        self.entries = []
        atexit.register(self.close)
        sys.excepthook = self.on_error
        signal.signal(signal.SIGTERM, lambda *arguments: self.stop(2, "ended by a signal"))
        self.store = Store()
        self.config = {
            "ConfigVersion": 3,
            "Routes": [{"Name": "renewal", "Host": HOST, "Prefix": "/renewal/",
                        "RouteType": "non_idempotent", "TimeoutMs": 3000, "TargetLatencyMs": 300,
                        "Priority": 0, "Service": "desk", "MaxAttempts": 2, "SlackFactor": 2}],
            "Services": [{"Name": "desk", "AdmissionControl": True}], "Limits": {}}
        self.store.put("op/config", self.config)
        names = worker_names or [f"{index + 1:08x}" for index in range(workers)]
        self.workers = [Worker(name, self.store, self.record, rack=f"r{index % 3}")
                        for index, name in enumerate(names)]
        self.gates = [Gate(self.store.address, NET + "3") for _ in range(entries)]
        self.entries = [Entry(self.folder, index, gate, status_s)
                        for index, gate in enumerate(self.gates)]
        self.wait(lambda: all(entry.is_ready() for entry in self.entries) and self.coordinator(),
                  "getting ready", 20)
        self.record.write("ready; coordinator", self.coordinator().name)

    def coordinator(self):
        return next((entry for entry in self.entries if entry.is_coordinator()), None)

    def wait(self, condition, what, limit):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if condition():
                return True
            time.sleep(0.05)
        self.record.write("timeout:", what)
        self.stop(2, what + " took too long")

    def stop(self, status, text):
        self.record.write("result", status, text)
        print(text)
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        self.close()
        sys.stdout.flush()
        os._exit(status)

    def on_error(self, kind, error, trace):
        """An error of the script itself is no broken rule."""
        traceback.print_exception(kind, error, trace)
        self.stop(2, f"the script has failed: {error}")

    def close(self):
        for entry in self.entries:
            if entry.process.poll() is None:
                entry.process.kill()
                entry.process.wait()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)


def job_id(number):
    """An id as clients choose them: without an order."""
    return hashlib.sha256(b"job %d" % number).hexdigest()[:16]


def job(count=1, text="ms=100", cpu=500, estimate=100, **fields):
    return {"TaskSpec": text, "Steps": [dict({"Count": count, "Cpu": cpu, "MemMb": 64,
                                              "EstimatedMs": estimate}, **fields)]}
