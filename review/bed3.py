"""Stand-ins for the cases of the third review: the platform's store, its registry and workers, a client,
and entry processes with the command and the environment of the deploy file.

All addresses are loopback addresses. Each entry process has one of its own, as hosts have. Everything that
was sent, answered and run is noted, and written to `record.txt`."""
import base64
import http.client
import http.server
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "desk.example"
CLIENT_PORT, READINESS_PORT = 8161, 8167
MAX_LEASE_MS, STOP_MS, GANG_MS, HEARTBEAT_S = 6000, 300, 3000, 1.5
BROKEN, HELD, FAILED = 1, 0, 2  # exit statuses


class Record:
    """What was seen, with the time since the start."""

    def __init__(self):
        self.lock = threading.Lock()
        self.began = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.began

    def add(self, text):
        with self.lock:
            self.lines.append("%8.3f %s" % (self.now(), text))

    def write(self, path):
        with self.lock:
            path.write_text("\n".join(self.lines) + "\n")


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def handle_call(self):
        url = urllib.parse.urlsplit(self.path)
        length = int(self.headers.get("Content-Length") or 0)
        body = json.loads(self.rfile.read(length)) if length else {}
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
        answer = self.server.owner.serve(self.command, url.path, query, body, self)
        if answer is None:
            self.close_connection = True
            return
        data = json.dumps(answer[1]).encode()
        head = "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
        try:
            self.wfile.write((head % (answer[0], len(data))).encode() + data)
            self.wfile.flush()
        except OSError:
            self.close_connection = True

    do_GET = do_POST = do_DELETE = handle_call

    def log_message(self, *arguments):
        pass


class QuietServer(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128
    allow_reuse_address = True

    def handle_error(self, request, client_address):
        pass  # a connection was reset


class StandIn:
    """An HTTP server, one thread for each connection."""

    def listen(self, address):
        self.connections = set()
        self.server = QuietServer(address, Handler)
        self.server.owner = self
        self.address = "%s:%d" % self.server.server_address
        threading.Thread(target=self.server.serve_forever, args=(0.02,), daemon=True).start()


class Store(StandIn):
    """The platform's store: transactions, leases, pages and watches. Loses nothing."""

    def __init__(self, ip):
        self.lock = threading.Condition()
        self.items, self.history, self.revision, self.leases, self.last_lease = {}, [], 1, {}, 0
        self.listen((ip, 0))
        threading.Thread(target=self.expire, daemon=True).start()

    def put(self, key, value):
        with self.lock:
            self.revision += 1
            self.write(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)

    def delete(self, key):
        with self.lock:
            self.revision += 1
            self.remove(key)

    def write(self, key, value, lease):
        created = self.items[key]["Created"] if key in self.items else self.revision
        item = {"Key": key, "Value": value, "Revision": self.revision, "Created": created, "Lease": lease}
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
                for lease in [name for name, (_, end) in self.leases.items() if end < now]:
                    self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None):
            self.revision += 1
            for key in [key for key, item in self.items.items() if item["Lease"] == lease]:
                self.remove(key)

    def serve(self, method, path, query, body, handler):
        with self.lock:
            return self.act(path[len("/-/"):], query, body)

    def act(self, name, query, body):
        if name == "kv-key":
            item = self.items.get(query["Key"])
            return (200, dict(item, At=self.revision)) if item else (404, {})
        if name == "kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(query["Prefix"]) and key > query.get("After", ""))
            return 200, {"items": [self.items[key] for key in keys[:500]], "HasMore": len(keys) > 500,
                         "At": self.revision}
        if name == "kv-watch":
            return self.watch(query)
        if name == "kv-txn":
            return self.transact(body)
        if name == "kv-lease":
            self.last_lease += 1
            self.leases[self.last_lease] = (body["TtlMs"], time.monotonic() + body["TtlMs"] / 1000)
            return 200, {"Lease": self.last_lease, "TtlMs": body["TtlMs"]}
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
        found = {row["Key"]: self.items.get(row["Key"], {"Key": row["Key"], "Revision": 0})
                 for row in body["Expected"]}
        if any(found[row["Key"]]["Revision"] != row["Revision"] for row in body["Expected"]):
            return 412, {"items": list(found.values())}
        if any(put.get("Lease", 0) and put["Lease"] not in self.leases for put in body["Puts"]):
            return 404, {}
        self.revision += 1
        for put in body["Puts"]:
            self.write(put["Key"], put["Value"], put.get("Lease", 0))
        for key in body["Remove"]:
            self.remove(key)
        return 200, {"Revision": self.revision}


class Worker(StandIn):
    """One worker, which can crash and start again under its id. Runs tasks in its own time: "ms=N" in the
    text of a job is the duration of a run, "fails=1" makes all of its runs fail, and "lasts=1" marks a task that
    lasts."""

    def __init__(self, name, store, record, ip, labels, wall=lambda: int(time.time() * 1000), cpu=4000):
        self.name, self.store, self.record, self.wall = name, store, record, wall
        self.ip, self.port, self.labels, self.cpu = ip, 0, labels, cpu
        self.lock = threading.Condition()
        self.lives = 0
        self.up = False
        self.start_life()

    def start_life(self):
        with self.lock:
            self.lives += 1
            self.token, self.lease_end, self.last, self.sequence = 0, 0, 0, 0
            self.running, self.barred, self.finished, self.ends = {}, {}, [], []
            self.began, self.born, self.up = time.monotonic(), self.wall(), True
            self.listen((self.ip, self.port))
            self.port = self.server.server_address[1]
        self.record.add("worker %s starts, born %d" % (self.name, self.born))
        threading.Thread(target=self.beat, args=(self.lives,), daemon=True).start()
        threading.Thread(target=self.work, args=(self.lives,), daemon=True).start()

    def crash(self):
        """Nothing is said: the process is gone, and its connections are reset."""
        with self.lock:
            self.up = False
            self.lock.notify_all()
            self.server.socket.close()
            for connection in list(self.connections):
                try:
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                    connection.close()
                except OSError:
                    pass
        threading.Thread(target=self.server.shutdown, daemon=True).start()
        self.record.add("worker %s crashes" % self.name)

    def clock(self):
        return 100000 + int((time.monotonic() - self.began) * 1000)

    def beat(self, life):
        """The entry is written at each heartbeat, and removed after three of silence."""
        while self.up and self.lives == life:
            self.sequence += 1
            self.store.put("servers/" + self.name, {
                "Service": "desk", "Address": self.address, "Zone": "a", "ConfigVersion": "v1", "Slots": 8,
                "State": "ready", "WarmupLeftMs": 0, "born": self.born, "Labels": self.labels,
                "Capacity": {"Cpu": self.cpu, "MemMb": 8000, "Gpu": 0}, "ClockMs": self.clock(),
                "Sequence": self.sequence})
            time.sleep(HEARTBEAT_S)
        time.sleep(3 * HEARTBEAT_S)
        if self.lives == life:
            self.store.delete("servers/" + self.name)

    def work(self, life):
        while self.up and self.lives == life:
            time.sleep(0.01)
            with self.lock:
                if not self.up or self.lives != life:
                    return
                now = self.clock()
                for task, run in list(self.running.items()):
                    if now >= run["end"]:
                        self.finish(task, run["how"])
                    elif now >= self.lease_end:
                        self.finish(task, "lapsed")

    def finish(self, task, how):
        run = self.running.pop(task)
        self.barred[task] = max(self.barred.get(task, 0), run["attempt"])
        self.last += 1
        self.finished.append([self.last, task, run["attempt"], how, ""])
        self.record.add("worker %s: run %d of %s ends %s" % (self.name, run["attempt"], task, how))
        self.lock.notify_all()

    def serve(self, method, path, query, body, handler):
        with self.lock:
            if not self.up or handler.server is not self.server:
                return None
            self.connections.add(handler.connection)
            life = self.lives
            if handler.headers.get("Expect-Instance") != self.name:
                return 421, {"ClockMs": self.clock()}
            if body.get("FencingToken", 0) < self.token:
                return 409, {"ClockMs": self.clock(), "Reason": "fence"}
            self.token = body.get("FencingToken", 0)
            if path == "/-/run-start":
                answer = self.start(body)
                self.record.add("worker %s: start %d of %s answered %d %s" % (
                    self.name, body["Attempt"], body["Task"], answer[0], answer[1].get("Reason", "")))
            elif path == "/-/run-stop":
                answer = self.stop(body)
            elif path == "/-/hold":
                answer = self.hold(body, life)
            else:
                answer = 200, {"ClockMs": self.clock()}
            return answer if self.up and self.lives == life else None

    def start(self, body):
        task, attempt, now = body["Task"], body["Attempt"], self.clock()
        if task in self.running and self.running[task]["attempt"] == attempt:
            return 200, {"ClockMs": now}
        self.extend(body["DeadlineMs"])
        if attempt <= self.barred.get(task, 0) or task in self.running:
            return 409, {"ClockMs": now, "Reason": "old"}
        if body["DeadlineMs"] <= now:
            return 409, {"ClockMs": now, "Reason": "late"}
        if len(self.running) >= 8:
            return 409, {"ClockMs": now, "Reason": "room"}
        numbers = dict(re.findall(r"(\w+)=(\d+)", body["TaskSpec"]))
        self.running[task] = {"attempt": attempt, "began": now, "lasts": "lasts" in numbers, "how": "failed" if "fails" in numbers else "done",
                              "end": now + int(numbers.get("ms", 100))}
        return 200, {"ClockMs": now}

    def stop(self, body):
        run = self.running.get(body["Task"])
        if run and run["attempt"] <= body["Attempt"]:
            run["how"], run["end"] = "stopped", min(run["end"], self.clock() + STOP_MS)
        self.barred[body["Task"]] = max(self.barred.get(body["Task"], 0), body["Attempt"])
        return 200, {"ClockMs": self.clock()}

    def extend(self, deadline):
        self.lease_end = max(self.lease_end, min(deadline, self.clock() + MAX_LEASE_MS))

    @staticmethod
    def percent(run, now):
        """Tasks that last are at work after 0.2 s."""
        if run["lasts"]:
            return 100 if now - run["began"] >= 200 else 50
        return 100 * (now - run["began"]) // max(run["end"] - run["began"], 1)

    def hold(self, body, life):
        if "DeadlineMs" in body:
            self.extend(body["DeadlineMs"])
        self.finished = [row for row in self.finished if row[0] > body.get("AckCursor", 0)]
        end = time.monotonic() + body.get("WaitMs", 0) / 1000
        while not self.finished and time.monotonic() < end and self.up and self.lives == life:
            self.lock.wait(end - time.monotonic())
        now = self.clock()
        running = [[task, run["attempt"], "", self.percent(run, now), 1000] for task, run in self.running.items()]
        return 200, {"ClockMs": now, "born": self.born, "Running": running, "Finished": self.finished[:500]}


class Entry:
    """One entry process, with the command and the environment of the deploy file."""

    def __init__(self, folder, ip, name, store, record):
        self.ip, self.name, self.record = ip, name, record
        self.log = folder / (name + ".log")
        settings = folder / (name + ".yaml")
        settings.write_text(SETTINGS.format(name=name, ip=ip, store=store.address))
        deploy = (ROOT / "deploy/system.toml").read_text()
        self.command = re.search(r'^run = "([^"]+)"', deploy, re.MULTILINE).group(1).split()
        environment = re.search(r"^env = {(.*)}", deploy, re.MULTILINE)
        self.environment = dict(re.findall(r'(\w+) = "([^"]*)"', environment.group(1))) if environment else {}
        self.environment.update(MONSOONLEDGE_SETTINGS=str(settings), PATH=os.environ["PATH"])
        self.start()

    def start(self):
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(self.command, cwd=ROOT, env=self.environment, stdout=log, stderr=log)

    def call(self, method, path, body=None, timeout=4):
        """Returns (status, JSON), or (0, None) if there was no whole answer."""
        connection = http.client.HTTPConnection(self.ip, CLIENT_PORT, timeout=timeout)
        try:
            connection.request(method, path, None if body is None else json.dumps(body),
                               {"Host": HOST, "Content-Type": "application/json", "Deadline-Ms": "3000"})
            response = connection.getresponse()
            text = response.read()
            answer = response.status, json.loads(text) if text else None
        except (OSError, http.client.HTTPException, ValueError):
            answer = 0, None
        finally:
            connection.close()
        self.record.add("%s %s to %s answered %d %s" % (method, path, self.name, answer[0],
                                                        json.dumps(answer[1])))
        return answer

    def is_ready(self):
        connection = http.client.HTTPConnection(self.ip, READINESS_PORT, timeout=2)
        try:
            connection.request("GET", "/-/readiness")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def is_coordinator(self):
        connection = http.client.HTTPConnection(self.ip, 9464, timeout=2)
        try:
            connection.request("GET", "/metrics")
            return b"monsoonledge_coordinator 1" in connection.getresponse().read()
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


SETTINGS = """NodeName: "{name}"
Role: "entry"
MachineClass: "edge"
Serves:
  - "edge"
Ip: "{ip}"
Zone: "a"
Region: "r"
Zones:
  a: "r"
ListenAddresses:
  Frontend: "{ip}:8161"
  Readiness: "{ip}:8167"
InternalPortRange:
  - 7720
  - 7735
Bootstrap: true
Limits:
  CpuShare: 0.25
  CpuCores: 1
  MemoryMb: 260
  MaxFds: 4100
  LinkMbps: 1000.0
HeartbeatIntervalMs: 1500
Bounds:
  ContactMs: 3000
  AckTimeoutMs: 4000
  DrainTimeoutMs: 2000
  GracePeriodS: 6
  ConfigApplyMs: 2000
  MaxHoldMs: 6000
  StopTimeoutMs: 900
  GangTimeoutMs: 3000
  status_s: 120
Orders: "invocation"
platform:
  Address: "{store}"
  form: "kv"
  WritesPerS: 400
  ReadsPerS: 2000
  HistoryS: 20
  ValueBytes: 1048576
  MinTtlMs: 1000
"""


class Deployment:
    """A store with a configuration and three entry processes. Ends the processes and writes the record."""

    def __init__(self, folder):
        self.folder = folder
        self.record = Record()
        self.net = "127.%d.%d." % (64 + os.getpid() % 128, 1 + random.randrange(250))
        self.entries = []

    def __enter__(self):
        self.temporary = pathlib.Path(tempfile.mkdtemp())
        self.store = Store(self.net + "1")
        self.store.put("op/config", {
            "ConfigVersion": 1,
            "Routes": [{"Name": "renewal", "Host": HOST, "Prefix": "/renewal/", "Service": "desk", "Priority": 0,
                        "RouteType": "non_idempotent", "TimeoutMs": 3000, "TargetLatencyMs": 300,
                        "MaxAttempts": 3, "SlackFactor": 1.5}],
            "Services": [{"Name": "desk", "AdmissionControl": True, "Standby": False}], "Limits": {}})
        return self

    def start_entries(self, count=3):
        self.entries += [Entry(self.temporary, self.net + str(10 + i), "edge-%d" % i, self.store, self.record)
                         for i in range(count)]
        return self.wait(lambda: all(entry.is_ready() for entry in self.entries)
                         and any(entry.is_coordinator() for entry in self.entries), 15)

    def wait(self, condition, limit):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if condition():
                return True
            time.sleep(0.05)
        return False

    def __exit__(self, *arguments):
        for entry in self.entries:
            entry.end()
        self.record.write(self.folder / (sys.argv[1] if len(sys.argv) > 1 else "record.txt"))
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.temporary, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def task(count=1, ms=500, **more):
    return {"Count": count, "Cpu": 1000, "MemMb": 256, "EstimatedMs": ms, **more}


def run(main):
    """Runs a case. An error of the case itself is no finding, and neither is its end by SIGTERM."""
    signal.signal(signal.SIGTERM, lambda *arguments: sys.exit(FAILED))
    try:
        return main()
    except Exception as error:  # noqa: BLE001
        print("the case could not run: %r" % error, file=sys.stderr)
        return FAILED
