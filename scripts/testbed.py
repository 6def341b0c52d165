"""Runs the whole system on loopback for the demo and the process tests: the stand-ins of the outside
systems, entry processes, callers, and an audit of what callers saw against what workers ran."""
import argparse
import collections
import contextlib
import ctypes
import http.client
import json
import pathlib
import queue
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
import zlib

ROOT = pathlib.Path(__file__).resolve().parents[1]
SHEET = ROOT / "examples" / "demo.yaml"
FIRST_PORT = 30000
LAST_PORT = 32700  # below the range that the kernel uses for outgoing connections

RequestClass = collections.namedtuple("RequestClass", "name idempotent share")
# Classes of the example sheet and their shares of the traffic.
CLASSES = [
    RequestClass("strip-desk/renewal", False, 0.4),
    RequestClass("strip-desk/fit-report", False, 0.2),
    RequestClass("strip-desk/courier-sync", True, 0.3),
    RequestClass("ledger/results", True, 0.1),
]
# Services and the number of workers of a failure domain that run each.
SERVICES = {"strip-desk": 4, "ledger": 2}


class TestbedError(Exception):
    """The system cannot be started or does not get ready."""


def checksum(body):
    """The same text as the stand-in endpoint computes from the body that it received."""
    return f"{len(body)}-{zlib.crc32(body):08x}"


def call(address, method, path, body=None, timeout=5):
    """One HTTP call on its own connection. Returns (status, headers, body)."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        data = json.dumps(body).encode() if isinstance(body, (dict, list)) else body
        connection.request(method, path, data)
        response = connection.getresponse()
        return response.status, response.headers, response.read()
    finally:
        connection.close()


class Process:
    """A started program, its log file and its address."""

    def __init__(self, name, command, address, folder):
        self.name, self.address, self.killed = name, address, False
        self.log = folder / f"{name}.log"
        libc = ctypes.CDLL(None)
        with self.log.open("w") as log:
            try:
                # PR_SET_PDEATHSIG (1): the program ends with the harness, whatever ends that.
                self.popen = subprocess.Popen(
                    [str(part) for part in command], stdin=subprocess.DEVNULL, stdout=log,
                    stderr=log, preexec_fn=lambda: libc.prctl(1, signal.SIGKILL))
            except OSError as error:
                raise TestbedError(f"cannot start {name}: {error}") from error

    def last_lines(self):
        return "".join(self.log.read_text(errors="replace").splitlines(True)[-10:])

    def wait_listening(self, limit=10):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if self.popen.poll() is not None:
                break
            with contextlib.suppress(OSError):
                socket.create_connection(self.address, timeout=1).close()
                return
            time.sleep(0.02)
        state = "exited with code %s" % self.popen.poll() if self.popen.poll() is not None \
            else f"does not listen on {self.address[0]}:{self.address[1]} after {limit} s"
        raise TestbedError(f"{self.name} {state}; last lines of its log:\n{self.last_lines()}")

    def signal(self, number):
        if self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self):
        self.killed = True
        self.signal(signal.SIGKILL)
        self.popen.wait()


class Testbed:
    """The stand-ins and entry processes. Use as a context manager: it stops what it started."""

    def __init__(self, build, seed=1, domains=("zilina1", "martin"), entries=2, service_ms=5,
                 task_speed=600, program=None, timing=None, keep=False):
        self.build = pathlib.Path(build).resolve()
        self.program = pathlib.Path(program).resolve() if program else self.build / "monsoonledge"
        self.seed, self.domains, self.entries_per_domain = seed, domains, entries
        self.service_ms, self.task_speed, self.timing = service_ms, task_speed, timing or {}
        self.keep = keep  # leave the folder with settings and logs in place
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="monsoonledge-"))
        self.processes, self.entries, self.workers = [], [], []
        self.next_port, self.hosts = FIRST_PORT, []

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    def free_ports(self, count):
        """The first of `count` consecutive free ports."""
        while self.next_port + count <= LAST_PORT:
            first, self.next_port = self.next_port, self.next_port + count
            try:
                for port in range(first, first + count):
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind(("127.0.0.1", port))
                return first
            except OSError:
                continue
        raise TestbedError(f"no free ports between {FIRST_PORT} and {LAST_PORT}")

    def spawn(self, name, port, *command):
        process = Process(name, command, ("127.0.0.1", port), self.folder)
        self.processes.append(process)
        return process

    def start(self):
        standins = self.build / "tests"
        for program in (self.program, standins / "standin_store"):
            if not program.exists():
                raise TestbedError(f"{program} does not exist; build it first")
        port = self.free_ports(2)
        self.store = self.spawn("store", port, standins / "standin_store", "--listen",
                                f"127.0.0.1:{port}")
        self.hostlist = self.spawn("hostlist", port + 1, standins / "standin_hostlist", "--listen",
                                   f"127.0.0.1:{port + 1}")
        for index, domain in enumerate(self.domains):
            services = [name for name, count in SERVICES.items() for _ in range(count)]
            port = self.free_ports(len(services))
            self.spawn(f"workers-{domain}", port, standins / "standin_worker", "--listen",
                       f"127.0.0.1:{port}", "--count", len(services), "--name", domain, "--seed",
                       self.seed + 100 * index, "--service-ms", self.service_ms, "--task-speed",
                       self.task_speed)
            for number, service in enumerate(services):
                self.workers.append(("127.0.0.1", port + number))
                self.hosts.append({
                    "id": f"{domain}-worker-{number + 1}", "address": "127.0.0.1",
                    "port": port + number, "domain": domain, "rack": f"{domain}-rack-1",
                    "kind": "worker", "state": "live", "service": service, "slots": 8,
                    "connections": 60, "cores": 16, "memoryMb": 61440, "accelerators": 0})
        peers = []
        for domain in self.domains:
            for number in range(1, self.entries_per_domain + 1):
                port = self.free_ports(2)
                peers.append((f"{domain}-entry-{number}", domain, port))
                self.hosts.append({
                    "id": f"{domain}-entry-host-{number}", "address": "127.0.0.1",
                    "port": port + 1, "domain": domain, "rack": f"{domain}-rack-1",
                    "kind": "entry", "state": "live", "service": "", "slots": 0,
                    "connections": 0, "cores": 4, "memoryMb": 8192, "accelerators": 0})
        for process in self.processes:
            process.wait_listening()
        self.put_hosts()
        for name, domain, port in peers:
            config = self.write_settings(name, domain, port, peers)
            process = self.spawn(name, port, self.program, "serve", "--config", config)
            process.domain = domain
            self.entries.append(process)
        for process in self.entries:
            process.wait_listening()

    def write_settings(self, name, domain, port, peers):
        lines = [f"entry: {name}", f"domain: {domain}", f"host: {name.replace('entry', 'entry-host')}",
                 f"listen: 127.0.0.1:{port}", f"peer: 127.0.0.1:{port + 1}",
                 f"domains: [{', '.join(self.domains)}]", "peers:"]
        lines += [f"  - {{entry: {other}, domain: {where}, address: \"127.0.0.1:{at + 1}\"}}"
                  for other, where, at in peers if other != name]
        lines += [f"store: 127.0.0.1:{self.store.address[1]}",
                  f"hostList: 127.0.0.1:{self.hostlist.address[1]}", "logLevel: info"]
        if self.timing:
            lines += ["timing:"] + [f"  {key}: {value}" for key, value in self.timing.items()]
        path = self.folder / f"{name}.yaml"
        path.write_text("\n".join(lines) + "\n")
        return path

    def put_hosts(self):
        self.expect(self.hostlist.address, "PUT", "/hosts", {"hosts": self.hosts})

    @staticmethod
    def expect(address, method, path, body=None):
        status, _, answer = call(address, method, path, body)
        if status != 200:
            raise TestbedError(f"{method} {path} is answered with {status}: {answer[:500]!r}")
        return json.loads(answer) if answer else {}

    def fault(self, address, **switches):
        self.expect(address, "POST", "/fault", switches)

    def put_sheet(self, path=SHEET, expect=0, limit=20):
        """Puts the sheet on the first entry process and waits until all live ones are ready and
        show it."""
        try:
            text = pathlib.Path(path).read_bytes()
        except OSError as error:
            raise TestbedError(f"cannot read the sheet: {error}") from error
        end, problem = time.monotonic() + limit, "no answer"
        while time.monotonic() < end:  # refused until the first entry process has reached the store
            status, _, answer = call(self.entries[0].address, "PUT", f"/v1/sheet?expect={expect}", text)
            problem = f"{status} {answer[:2000].decode(errors='replace')}"
            if status in (200, 201, 400, 409, 422):
                break
            time.sleep(0.1)
        if status not in (200, 201):
            raise TestbedError(f"the sheet is not accepted: {problem}")
        self.wait_ready(expect + 1, end)

    def wait_ready(self, revision, end):
        waiting = [entry for entry in self.entries if not entry.killed]
        while waiting:
            entry, problem = waiting[0], "no answer"
            with contextlib.suppress(OSError, http.client.HTTPException, ValueError):
                problem = call(entry.address, "GET", "/v1/status")[2].decode(errors="replace")
                status = json.loads(problem)
                if status.get("ready") and status.get("sheetRevision", 0) >= revision:
                    waiting.pop(0)
                    continue
            if entry.popen.poll() is not None or time.monotonic() > end:
                raise TestbedError(f"{entry.name} is not ready: {problem[:1000]}; last lines of its "
                                   f"log:\n{entry.last_lines()}")
            time.sleep(0.05)

    def journals(self, summary=False):
        path = "/journal?summary=1" if summary else "/journal"
        return [self.expect(worker, "GET", path) for worker in self.workers]

    def stop(self):
        """SIGTERM to everything still running, entry processes first, and waits. Returns the names
        of processes that had to be killed or ended with an error."""
        failed = []
        entries = [process for process in self.processes if process in self.entries]
        for group in (entries, [process for process in self.processes if process not in entries]):
            for process in group:
                process.signal(signal.SIGCONT)
                process.signal(signal.SIGTERM)
            for process in group:
                try:
                    if process.popen.wait(20) != 0 and not process.killed:
                        failed.append(f"{process.name} (exit code {process.popen.returncode})")
                except subprocess.TimeoutExpired:
                    process.kill()
                    failed.append(f"{process.name} (killed, did not stop within 20 s)")
        if not self.keep:
            shutil.rmtree(self.folder, ignore_errors=True)
        elif self.processes:
            print(f"settings and logs: {self.folder}")
        self.processes = []
        return failed


class Item:
    """One request as a caller means it. A duplicate is another item with the same id."""

    def __init__(self, request_class, request_id, body, entry, due=0.0):
        self.request_class, self.id, self.body, self.entry, self.due = (
            request_class, request_id, body, entry, due)
        self.attempts = []  # (entry name, outcome, HTTP status)
        self.outcome = "lost"  # done, not-run, unknown; lost: no answer
        self.ms, self.started, self.wrong = 0.0, 0.0, ""


def make_items(bed, count, seconds=0.0, duplicates=0.05, seed=None, prefix="r", entries=None):
    """A seeded mix of all classes, spread over `seconds`. Some ids name their home domain."""
    rng = random.Random(bed.seed if seed is None else seed)
    choices = range(len(bed.entries)) if entries is None else entries
    items = []
    while len(items) < count:
        request_class = rng.choices(CLASSES, [c.share for c in CLASSES])[0]
        home = rng.choice([f"{domain}~" for domain in bed.domains] + [""])
        request_id = f"{home}{prefix}-{bed.seed}-{len(items)}"
        body = rng.randbytes(rng.choice([20, 200, 4000]))
        first = rng.choice(choices)
        due = seconds * len(items) / count
        items.append(Item(request_class, request_id, body, first, due))
        if rng.random() < duplicates and len(choices) > 1:
            other = rng.choice([entry for entry in choices if entry != first])
            items.append(Item(request_class, request_id, body, other, due))
    return items


class Load:
    """Callers on threads, each with one keep-alive connection to each entry process."""

    def __init__(self, bed, items, callers=32, deadline_ms=5000, progress=None):
        self.bed, self.items, self.deadline_ms, self.progress = bed, items, deadline_ms, progress
        self.queue, self.finished, self.lock = queue.SimpleQueue(), 0, threading.Lock()
        for item in items:
            self.queue.put(item)
        self.threads = [threading.Thread(target=self.run, args=(number,), daemon=True)
                        for number in range(callers)]

    def start(self):
        self.began = time.monotonic()
        for thread in self.threads:
            thread.start()
        return self

    def join(self):
        for thread in self.threads:
            thread.join()
        return self.items

    def run(self, number):
        connections = {}
        with contextlib.suppress(queue.Empty):
            while True:
                item = self.queue.get_nowait()
                time.sleep(max(0.0, self.began + item.due - time.monotonic()))
                item.started = time.monotonic()
                self.send(item, connections, number)
                item.ms = (time.monotonic() - item.started) * 1000
                with self.lock:
                    self.finished += 1
                    if self.progress:
                        self.progress(self.finished)
        for connection in connections.values():
            connection.close()

    def send(self, item, connections, number):
        """Sends the item, and again with the same id to the next entry process if the first one
        refuses the connection (nothing was sent) or was killed."""
        for step in range(len(self.bed.entries)):
            entry = self.bed.entries[(item.entry + step) % len(self.bed.entries)]
            outcome, status = self.attempt(item, entry, connections, number)
            item.attempts.append((entry.name, outcome, status))
            if outcome in ("done", "not-run", "unknown"):
                item.outcome = outcome
                return
            if outcome != "refused" and not entry.killed:
                return

    def attempt(self, item, entry, connections, number):
        connection = connections.get(entry.name)
        if connection is None:
            timeout = self.deadline_ms / 1000 + 8  # longer than a suspension and the deadline
            connection = http.client.HTTPConnection(*entry.address, timeout=timeout)
            connections[entry.name] = connection
        try:
            if connection.sock is None:
                connection.connect()
        except OSError:
            connection.close()
            return "refused", 0
        try:
            connection.request("POST", f"/v1/run/{item.request_class.name}", item.body, {
                "X-Request-Id": item.id, "X-Caller": f"caller-{number}",
                "X-Deadline-Ms": str(self.deadline_ms)})
            response = connection.getresponse()
            body = response.read()
        except TimeoutError:
            connection.close()
            return "timeout", 0
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            if isinstance(error, http.client.IncompleteRead) and not entry.killed:
                item.wrong = "partial answer"
            return "closed", 0
        outcome = response.headers.get("X-Outcome", f"no outcome in status {response.status}")
        if outcome == "done" and response.status == 200:
            self.verify(item, body)
        return outcome, response.status

    @staticmethod
    def verify(item, body):
        try:
            answer = json.loads(body)
            if answer["id"] != item.id or answer["echo"] != checksum(item.body):
                item.wrong = f"answer of request {answer['id']} with {answer['echo']}"
        except (ValueError, KeyError, TypeError):
            item.wrong = f"no whole answer: {body[:80]!r}"


def audit(bed, items):
    """Compares what callers saw with the journals of all workers. Returns lists of findings by
    kind; all are empty if the system kept its promises."""
    found = {kind: [] for kind in ("lost", "doubled", "crossed", "overloaded", "false not-run")}
    runs, once = collections.Counter(), {i.id for i in items if not i.request_class.idempotent}
    tasks = collections.defaultdict(list)
    for journal in bed.journals():
        runs.update(journal["runs"])
        once.update(journal["nonIdempotent"])
        for kind in ("overloads", "connectionOverloads", "taskOverloads"):
            if journal[kind]:
                found["overloaded"].append(f"{journal['worker']}: {journal[kind]} {kind}")
        for start in journal["taskStarts"]:
            tasks[start["task"]].append((start["startMs"], start["endMs"] or float("inf"),
                                         start["generation"], journal["worker"]))
    found["doubled"] += [f"{name} ran {runs[name]} times" for name in once if runs[name] > 1]
    for task, starts in tasks.items():
        starts.sort()
        generations = [start[2] for start in starts]
        if len(set(generations)) != len(generations):
            found["doubled"].append(f"task {task}: one generation started twice: {starts}")
        if any(later[0] < earlier[1] for earlier, later in zip(starts, starts[1:])):
            found["doubled"].append(f"task {task} ran in two places at once: {starts}")
    outcomes = collections.defaultdict(set)
    for item in items:
        outcomes[item.id].update(outcome for _, outcome, _ in item.attempts)
        if item.outcome == "lost":
            found["lost"].append(f"{item.id}: {item.attempts}")
        if item.outcome == "done" and runs[item.id] == 0:
            found["lost"].append(f"{item.id} was answered but never ran")
        if item.wrong:
            found["crossed"].append(f"{item.id}: {item.wrong}")
    for request_id, seen in outcomes.items():
        if seen <= {"not-run", "refused"} and runs[request_id] > 0:
            found["false not-run"].append(f"{request_id} ran {runs[request_id]} times: {seen}")
    return found


def wait_until_served(bed, seed, limit=15):
    """Sends small batches of new non-idempotent requests until one batch is done as a whole, which
    shows that all share units have an owner again. Returns all items sent."""
    items, end = [], time.monotonic() + limit
    live = [number for number, entry in enumerate(bed.entries) if not entry.killed]
    batch = []
    while time.monotonic() < end:
        batch = make_items(bed, 64, seed=seed, prefix=f"after-{len(items)}", entries=live, duplicates=0)
        items += Load(bed, batch, callers=8, deadline_ms=2000).start().join()
        if all(item.outcome == "done" for item in batch):
            return items
        time.sleep(0.2)
    missing = [(item.id, item.attempts) for item in batch if item.outcome != "done"]
    raise AssertionError(f"still not served after {limit} s, {len(missing)} of 64: {missing[:5]}")


def count(items, outcome="done", idempotent=None):
    return sum(item.outcome == outcome and idempotent in (None, item.request_class.idempotent)
               for item in items)


def add_arguments(parser, seed):
    parser.add_argument("--build", default=ROOT / "build", help="the build folder")
    parser.add_argument("--program", help="the entry process; default: monsoonledge in the build folder")
    parser.add_argument("--seed", type=int, default=seed)
    parser.add_argument("--keep", action="store_true", help="keep the settings files and logs")


def run_test(scenario, seed, **options):
    """Runs one process test: `scenario(bed)` returns all items that were sent, and raises
    AssertionError. The audit must find nothing, and all processes must stop by themselves."""
    parser = argparse.ArgumentParser(description=sys.modules["__main__"].__doc__)
    add_arguments(parser, seed)
    arguments = parser.parse_args()
    print(f"{pathlib.Path(sys.argv[0]).name}: seed {arguments.seed}")
    try:
        with Testbed(arguments.build, arguments.seed, program=arguments.program,
                     keep=arguments.keep, **options) as bed:
            bed.put_sheet()
            try:
                items = scenario(bed)
                print(dict(collections.Counter(item.outcome for item in items)))
                found = {kind: what[:10] for kind, what in audit(bed, items).items() if what}
                assert not found, json.dumps(found, indent=2)
            except (AssertionError, OSError):
                for entry in bed.entries:
                    print(f"--- {entry.name}, last lines of its log:\n{entry.last_lines()}")
                raise
            failed = bed.stop()
            assert not failed, f"not stopped cleanly: {failed}"
    except (TestbedError, AssertionError, OSError):
        traceback.print_exc()
        sys.exit(1)
    print("passed")
