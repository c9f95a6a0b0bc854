"""Starts relay VMs as deploy/system.toml does, with a store, workers and a record of what was sent, answered and run.

The store and the workers are stand-ins of the users' pages: the store is a log with a newest record per key, and a worker checks
X-Expect-Instance, echoes X-Request-Id and stamps its answers.
"""
import base64
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

HOST = "127.0.0.1"
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HELD, BROKEN, NOT_RUN = 0, 1, 2

# The bounds of the site hrafn-rota, as the platform fills them into the template of the settings.
BOUNDS = {
    "limits.cpu_share": "0.25",
    "bounds.drain_ms": "2000",
    "bounds.retry_ratio": "0.2",
    "bounds.retry_slack": "54",
    "bounds.quota_slack": "120000",
}
GRACE_S = 8.0
LONGEST_RUN_S = 115


class CannotRun(Exception):
    """The case could not be set up, so that it shows nothing."""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to record.txt, with the time since the start of the case."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def write(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
            self.file.flush()


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class QuietServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        pass


def serve(handler, **fields):
    server = QuietServer((HOST, 0), handler)
    server.__dict__.update(fields)
    server.address = f"{HOST}:{server.server_address[1]}"
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return server


class StoreHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args):
        pass

    def reply(self, status, body, content_type="application/json"):
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", content_type)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def query(self):
        path, _, query = self.path.partition("?")
        return path, dict(item.partition("=")[::2] for item in query.split("&") if item)

    def do_POST(self):
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        path, query = self.query()
        if path != "/api/log-append":
            self.reply(404, {})
            return
        with self.server.lock:
            log = self.server.topics.setdefault(query["topic"], [])
            if "at" in query and int(query["at"]) != len(log):
                answer = 412, {"end": len(log)}
            else:
                offset = len(log)
                while len(body) >= 4:
                    size = struct.unpack(">I", body[:4])[0]
                    log.append(body[4 : 4 + size])
                    body = body[4 + size :]
                answer = 200, {"offset": offset, "end": len(log)}
        self.reply(*answer)

    def do_GET(self):
        path, query = self.query()
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            with self.server.lock:
                log = list(self.server.topics.setdefault(query["topic"], []))
            if path != "/api/log-read" or int(query["from"]) < len(log) or time.monotonic() >= until:
                break
            time.sleep(0.005)
        if path == "/api/log-read":
            records = b"".join(struct.pack(">I", len(record)) + record for record in log[int(query["from"]) :])
            self.reply(200, struct.pack(">QQ", len(log), 0) + records, "application/octet-stream")
            return
        newest = {}
        for offset, record in enumerate(log):
            key, value = record[1 : 1 + record[0]].decode(), record[1 + record[0] :]
            newest.pop(key, None)
            if value:
                newest[key] = {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
        self.reply(200, {"items": list(newest.values()), "has_more": False, "end": len(log)})


class Store:
    """The platform's store, and the operator and the workers that write to it."""

    def __init__(self):
        self.server = serve(StoreHandler, topics={}, lock=threading.Lock())
        self.address = self.server.address

    def put(self, topic, key, value):
        with self.server.lock:
            self.server.topics.setdefault(topic, []).append(bytes([len(key)]) + key.encode() + json.dumps(value).encode())

    def remove(self, topic, key):
        with self.server.lock:
            self.server.topics.setdefault(topic, []).append(bytes([len(key)]) + key.encode())

    def configure(self, config):
        self.put("keyed.op", "config", config)

    def register(self, worker, state="ready"):
        entry = {"service": worker.service, "addr": worker.address, "zone": "zone-a", "version": "v1", "slots": worker.slots, "state": state, "cold_left_ms": 0, "seq": 1, "born": 1}
        if worker.stage:
            entry.update(stage=worker.stage, models=[{"name": "m", "version": 1, "adapters": []}])
        self.put("keyed.servers", worker.name, entry)


def configuration(version=7, keys=("k-1",), routes=()):
    common = {"host": "shop.example", "timeout_ms": 14000, "priority": 1, "attempts": 1, "public": False, "sticky": False}
    defaults = [
        {**common, "name": "book", "path_prefix": "/book/", "kind": "unsafe", "slo_ms": 100, "service": "desk"},
        {**common, "name": "look", "path_prefix": "/look/", "kind": "safe", "slo_ms": 100, "service": "desk", "attempts": 2},
        {**common, "name": "draft", "path_prefix": "/draft/", "kind": "streaming", "slo_ms": 900, "gap_slo_ms": 300, "sticky": True, "resumable": False, "service": "llm"},
    ]
    engine = {"slots": 12, "kv_tokens": 71518, "kv_bytes": 18432, "link_mbps": 2900000.0, "handle_ttl_s": 0.5, "switch_s": 6.0, "models": [{"name": "m"}]}
    return {
        "version": version,
        "routes": [*defaults, *({**common, **route} for route in routes)],
        "services": [
            {"name": "desk", "health_path": "/healthz", "max_conns": 100, "proto": "h1", "tls": False},
            {"name": "llm", "health_path": "/healthz", "max_conns": 150, "proto": "h1", "tls": False, "engine": engine},
        ],
        "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_ms": 3000, "idle_ms": 15000},
        "tenants": [{"name": "tenant-1", "api_keys": list(keys), "priority": 1, "unit": "tokens", "plain_tokens": 200, "rate_per_s": 1000000, "burst": 1000000}],
    }


class Relay:
    """A relay VM, started with the command and the template of deploy/system.toml."""

    def __init__(self, case, name):
        self.name = name
        self.listen, self.ready, self.peer = (free_port() for _ in range(3))
        values = {
            **BOUNDS,
            "node": name,
            "zone": "zone-a",
            "listen.front": f"{HOST}:{self.listen}",
            "listen.ready": f"{HOST}:{self.ready}",
            "ip": HOST,
            "port_range.0": str(self.peer),
            "provider.addr": case.store.address,
        }
        with open(os.path.join(ROOT, "deploy", "relay.yaml.in"), encoding="utf-8") as template:
            text = re.sub(r"\{\{([a-z_.0-9]+)\}\}", lambda found: values[found.group(1)], template.read())
        self.settings = os.path.join(case.folder, f"{name}.yaml")
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(text)
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as deploy:
            command = re.search(r'^run = "([^"]+)"', deploy.read(), re.MULTILINE).group(1).split()
        self.command = [self.settings if word == "/etc/plantainpoint/boot.conf" else word for word in command]
        self.log_path = os.path.join(case.folder, f"{name}.log")
        self.case = case
        self.start()

    def start(self):
        with open(self.log_path, "ab") as log:
            environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.case.folder, "PLANTAINPOINT_NODE_FILE": self.settings}
            self.process = subprocess.Popen(self.command, cwd=ROOT, stdout=log, stderr=log, env=environment)
        self.case.record.write(f"start vm={self.name} pid={self.process.pid}")

    def signal(self, number):
        self.case.record.write(f"signal vm={self.name} {signal.Signals(number).name}")
        self.process.send_signal(number)

    def is_ready(self):
        try:
            with socket.create_connection((HOST, self.ready), timeout=1) as connection:
                connection.sendall(b"GET /api/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                return b" 200 " in connection.recv(256)
        except OSError:
            return False


class Case:
    """Owns the processes, the folder and the record of a case."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.relays = []

    def start_relays(self, *names):
        for name in names:
            self.relays.append(Relay(self, name))
        wait_for("all VMs are ready", lambda: all(relay.is_ready() for relay in self.relays), 10)
        time.sleep(2.5)  # The VMs find each other and their hubs.
        return self.relays

    def stop(self):
        for relay in self.relays:
            if relay.process.poll() is None:
                relay.process.send_signal(signal.SIGCONT)
                relay.process.kill()
            relay.process.wait()
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(f"logs: {self.folder}")


def wait_for(description, condition, timeout):
    until = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > until:
            raise CannotRun(f"not within {timeout} s: {description}")
        time.sleep(0.02)


def request_bytes(method, path, request_id, body=b"", headers=(), deadline_ms=3000, key="k-1"):
    lines = [f"{method} {path} HTTP/1.1", "Host: shop.example", f"X-Request-Id: {request_id}", f"X-Deadline-Ms: {deadline_ms}", f"Authorization: Bearer {key}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body

    @property
    def id(self):
        return self.headers.get("x-request-id")

    def __str__(self):
        return f"status={self.status} id={self.id} stamp={self.headers.get('x-reply-stamp')} body={self.body[:60]!r}"


class Client:
    """A caller's connection. It reads whole answers, by their length or in chunks."""

    def __init__(self, port, timeout=5):
        self.socket = socket.create_connection((HOST, port), timeout=timeout)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.data = b""
        self.received = b""

    def send(self, data):
        self.socket.sendall(data)

    def _more(self):
        data = self.socket.recv(65536)
        if not data:
            raise EOFError("the connection ended inside an answer" if self.data else "the connection ended before an answer")
        self.data += data
        self.received += data

    def _until(self, mark):
        while mark not in self.data:
            self._more()
        head, self.data = self.data.split(mark, 1)
        return head

    def _exactly(self, size):
        while len(self.data) < size:
            self._more()
        body, self.data = self.data[:size], self.data[size:]
        return body

    def read_answer(self, timeout=None):
        if timeout is not None:
            self.socket.settimeout(timeout)
        lines = self._until(b"\r\n\r\n").decode("latin-1").split("\r\n")
        status = int(lines[0].split(" ")[1])
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
        body = b""
        if headers.get("transfer-encoding") == "chunked":
            while size := int(self._until(b"\r\n"), 16):
                body += self._exactly(size)
                self._until(b"\r\n")
            self._until(b"\r\n")
        else:
            body = self._exactly(int(headers.get("content-length", 0)))
        return Answer(status, headers, body)

    def close(self):
        self.socket.close()


class WorkerHandler(BaseHTTPRequestHandler):
    """Serves one request after the other on a connection. The case's function `run` answers the requests that belong here."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args):
        pass

    def handle_request(self):
        worker = self.server
        if self.path == "/api/report":
            body = {"stage": worker.stage, "busy": False, "seq": 0, "queued": 0, "active": 0, "kv_used": 0, "kv_total": 71518, "kv_handles": 0}
            self.answer(200, json.dumps(body).encode(), echo=False)
            return
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        if self.path.startswith("/api/") or self.command == "DELETE":
            self.answer(200, b"{}", echo=False)
            return
        if self.headers.get("X-Expect-Instance", worker.name) != worker.name:
            self.answer(421, b"", [("X-Instance-Id", worker.name)])
            return
        worker.run(self, body)

    do_GET = do_POST = do_DELETE = do_PUT = handle_request

    def answer(self, status, body, headers=(), echo=True, stamp=True):
        self.send_response_only(status)
        if echo:
            self.send_header("X-Request-Id", self.headers.get("X-Request-Id", ""))
            if stamp:
                self.send_header("X-Reply-Stamp", self.server.stamp)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def begin_stream(self):
        self.send_response_only(200)
        self.send_header("X-Request-Id", self.headers.get("X-Request-Id", ""))
        self.send_header("X-Reply-Stamp", self.server.stamp)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()

    def send_event(self, number, text):
        event = f"id: {number}\ndata: {text}\n\n".encode()
        self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))

    def end_stream(self):
        self.wfile.write(b"0\r\n\r\n")


def start_worker(case, name, service, run, stage=None, slots=6):
    worker = serve(WorkerHandler, name=name, service=service, stage=stage, slots=slots, run=run, stamp=f"stamp-{name}")
    case.store.register(worker)
    return worker


def main(folder, play):
    """Runs a case. play(case) returns whether the rule held and a text."""
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, lambda *_: sys.exit("stopped by a signal"))
    signal.alarm(LONGEST_RUN_S)
    case = Case(folder)
    try:
        held, text = play(case)
        verdict = HELD if held else BROKEN
    except BaseException as error:  # Whatever happens, the processes of the case are ended and the exit code says so.
        verdict, text = NOT_RUN, f"could not run: {error!r}"
    finally:
        case.stop()
    name = {HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[verdict]
    case.record.write(f"verdict {name}: {text}")
    print(f"{name}: {text}", flush=True)
    os._exit(verdict)  # Threads of callers may still wait.
