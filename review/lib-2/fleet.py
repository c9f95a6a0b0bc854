"""Processes and stand-ins that the cases of this review share: relay VMs, the platform's store, workers, and a proxy that can fall silent.

Everything listens on loopback addresses. The relay is the program of the deploy file, with settings rendered from its template.
"""
import base64
import http.client
import json
import os
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlparse

HOST = "127.0.0.1"
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
RELAY = os.path.join(ROOT, "target", "plantainpoint-relay")
TEMPLATE = os.path.join(ROOT, "deploy", "relay.yaml.in")
HEARTBEAT = 1.2  # Seconds between two entries of a worker.


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Lines of record.txt, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()
        self.begin = time.monotonic()

    def write(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.begin:8.3f}  {text}\n")
            self.file.flush()


def encode_record(key, value):
    """Returns a record of a keyed topic with its length."""
    content = bytes([len(key)]) + key.encode() + json.dumps(value).encode()
    return struct.pack(">I", len(content)) + content


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def wait_for(description, condition, timeout):
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > deadline:
            raise CannotRun(f"not within {timeout} s: {description}")
        time.sleep(0.02)


class QuietServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        pass


class QuietHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args):
        pass


class StoreHandler(QuietHandler):
    def answer(self, status, body, media_type="application/json"):
        self.send_response(status)
        self.send_header("Store-Era", str(self.server.store.era))
        self.send_header("Content-Type", media_type)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def answer_json(self, status, value):
        self.answer(status, json.dumps(value).encode())

    def do_GET(self):
        self.serve(b"")

    def do_POST(self):
        self.serve(self.rfile.read(int(self.headers.get("Content-Length") or 0)))

    def serve(self, body):
        store = self.server.store
        if store.is_away:
            self.answer_json(503, {"error": "away"})
            return
        url = urlparse(self.path)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        with store.lock:
            log = store.topics.setdefault(query.get("topic", ""), [])
            if url.path == "/api/log-append":
                result = store.append(log, body, int(query.get("at", -1)))
                self.answer_json(*result)
            elif url.path == "/api/log-read":
                start, first = int(query.get("from", 0)), store.first.get(query.get("topic", ""), 0)
                if not first <= start <= len(log):
                    self.answer_json(410, {"first": first})
                    return
                page = struct.pack(">QQ", len(log), first)
                for record in log[start:]:
                    if len(page) > 16 and len(page) + len(record) > int(query.get("max_kb", 1024)) * 1024:
                        break
                    page += struct.pack(">I", len(record)) + record
                self.answer(200, page, "application/octet-stream")
            elif url.path == "/api/log-newest":
                self.answer_json(200, store.newest(log, query.get("after")))
            else:
                self.answer_json(404, {})


class Store:
    """The platform's store: a log of records a topic, which may go away and come back from an older copy."""

    def __init__(self):
        self.topics, self.copy, self.era, self.is_away = {}, {}, 1, False
        self.first = {}  # First retained offset of each topic. The newest record of each key is retained in any case.
        self.lock = threading.RLock()
        self.server = QuietServer((HOST, 0), StoreHandler)
        self.server.store = self
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    @staticmethod
    def append(log, body, at):
        if at >= 0 and at != len(log):
            return 412, {"end": len(log)}
        offset = len(log)
        while len(body) >= 4:
            size = struct.unpack(">I", body[:4])[0]
            log.append(body[4 : 4 + size])
            body = body[4 + size :]
        return 200, {"offset": offset, "end": len(log)}

    @staticmethod
    def newest(log, after):
        items = {}
        for offset, record in enumerate(log):
            if not record:
                continue
            key, value = record[1 : 1 + record[0]], record[1 + record[0] :]
            items.pop(key, None)
            if value:
                items[key] = {"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset}
        keys = sorted(key for key in items if after is None or key > after.encode())
        return {"items": [items[key] for key in keys[:500]], "has_more": len(keys) > 500, "end": len(log)}

    def write(self, topic, key, value):
        """Writes a record of the operator or of a worker. Returns False if the store is away."""
        if self.is_away:
            return False
        with self.lock:
            self.append(self.topics.setdefault(topic, []), encode_record(key, value), -1)
        return True

    def forget_history(self):
        with self.lock:
            self.first = {topic: len(log) for topic, log in self.topics.items()}

    def take_copy(self):
        with self.lock:
            self.copy = {topic: list(log) for topic, log in self.topics.items()}

    def come_back_from_copy(self):
        with self.lock:
            self.topics = {topic: list(log) for topic, log in self.copy.items()}
            self.era += 1
        self.is_away = False


class Link:
    """Proxy in front of the store for one VM. A partitioned link takes connections and passes nothing on, either way."""

    def __init__(self, target):
        self.target, self.is_cut = target, False
        self.listener = socket.socket()
        self.listener.bind((HOST, 0))
        self.listener.listen(64)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            caller, _ = self.listener.accept()
            threading.Thread(target=self.open, args=(caller,), daemon=True).start()

    def open(self, caller):
        try:
            callee = socket.create_connection((HOST, self.target))
        except OSError:
            caller.close()
            return
        caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        callee.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        lost = {"bytes": False}
        threading.Thread(target=self.pass_on, args=(caller, callee, lost), daemon=True).start()
        self.pass_on(callee, caller, lost)

    def pass_on(self, source, sink, lost):
        try:
            while data := source.recv(65536):
                lost["bytes"] = lost["bytes"] or self.is_cut
                if not lost["bytes"]:
                    sink.sendall(data)
        except OSError:
            pass
        finally:
            for each in (source, sink):
                try:
                    each.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
                each.close()


class WorkerServer(QuietServer):
    """Knows its open channels, to end them all when the worker crashes."""

    def __init__(self, address, handler):
        super().__init__(address, handler)
        self.channels = set()

    def process_request(self, request, client_address):
        self.channels.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.channels.discard(request)
        super().shutdown_request(request)

    def end_channels(self):
        for channel in list(self.channels):
            try:
                channel.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class WorkerHandler(QuietHandler):
    def head(self, status, headers, length=None):
        worker = self.server.worker
        self.send_response(status)
        self.send_header("X-Request-Id", self.headers.get("X-Request-Id", ""))
        self.send_header("X-Reply-Stamp", worker.stamp())
        self.send_header("X-Load-Report", f"{worker.running},0,{worker.slots}")
        if worker.state == "draining":
            self.send_header("Server-Leaving", "1")
        for name, value in headers:
            self.send_header(name, value)
        if length is not None:
            self.send_header("Content-Length", str(length))
        self.end_headers()

    def plain(self, status, body=b"", headers=()):
        self.head(status, headers, len(body))
        self.wfile.write(body)

    def do_GET(self):
        self.do_POST()

    def do_DELETE(self):
        self.plain(200)

    def do_POST(self):
        worker = self.server.worker
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        if self.headers.get("X-Expect-Instance", worker.name) != worker.name:
            self.plain(421)
        elif self.path == "/api/report":
            report = {"stage": worker.stage, "models": [], "busy": False, "seq": 0, "queued": 0, "active": worker.running}
            self.plain(200, json.dumps(report).encode())
        elif self.path == "/api/order":
            worker.record.write(f"{worker.name} order {body.decode()}")
            self.plain(409)
        elif not worker.begin():
            self.plain(503, headers=[("X-Not-Run", "1")])
        else:
            try:
                self.run(worker, body)
            finally:
                worker.end()

    def run(self, worker, body):
        request_id = self.headers.get("X-Request-Id", "")
        if self.headers.get("X-Stage") == "prefill":
            time.sleep(worker.prefill_time)
            worker.record.write(f"{worker.name} read the prompt of {request_id}")
            handle = os.urandom(6).hex()
            self.plain(200, json.dumps({"kv_handle": handle, "tokens": 5200, "version": 1}).encode(), [("Content-Type", "application/json")])
            return
        if worker.stage is None:
            worker.record.write(f"{worker.name} runs {request_id}")
            time.sleep(worker.work_time)
            self.plain(200, b"done:" + body)
            return
        first = int(self.headers.get("Last-Event-Id") or 0) + 1
        version = worker.version
        worker.record.write(f"{worker.name} version={version} runs {request_id} from event {first}")
        is_chunked = worker.framing == "chunks"
        self.head(200, [("Content-Type", "text/event-stream"), ("X-Weight-Versions", "1")] + [("Transfer-Encoding", "chunked")] * is_chunked)
        try:
            for number in range(first, worker.events + 1):
                event = b"id: %d\ndata: %s %s\n\n" % (number, worker.name.encode(), version.encode())
                self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event) if is_chunked else event)
                time.sleep(worker.event_pause)
            if is_chunked:
                self.wfile.write(b"0\r\n\r\n")
            else:
                self.close_connection = True
        except (OSError, ValueError):
            worker.record.write(f"{worker.name} stops {request_id}: its connection has ended")
            self.close_connection = True


class Worker:
    """A sound worker. It writes its entry to the store every heartbeat. Its streams come in chunks, or end with their connection ("close")."""

    prefill_time = 0.09  # Seconds: 5,000 tokens at 55 tokens a millisecond.
    work_time = 0.06  # Seconds.
    events, event_pause = 70, 0.05

    def __init__(self, store, record, name, service, zone, slots, stage=None, version="v1", framing="chunks"):
        self.framing, self.state = framing, "ready"
        self.store, self.record, self.name, self.service, self.zone = store, record, name, service, zone
        self.slots, self.stage, self.version = slots, stage, version
        self.running, self.sequence, self.stamps = 0, 0, 0
        self.lock = threading.Lock()
        self.born = int(time.time() * 1000)
        self.port = 0
        self.listen()
        threading.Thread(target=self.announce, daemon=True).start()

    def listen(self):
        self.server = WorkerServer((HOST, self.port), WorkerHandler)
        self.server.worker = self
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def restart(self, version, after):
        """Ends with all its connections, and starts again under its id and address with another version."""
        self.record.write(f"{self.name} has crashed")
        self.server.shutdown()
        self.server.server_close()
        self.server.end_channels()
        time.sleep(after)
        with self.lock:
            self.version, self.born, self.sequence, self.running = version, int(time.time() * 1000), 0, 0
        self.listen()
        self.record.write(f"{self.name} has started again with version {version}")

    def announce(self):
        while True:
            while not self.write_entry():
                time.sleep(0.1)
            time.sleep(HEARTBEAT)

    def leave(self):
        """Reports that the worker leaves. It goes on serving."""
        self.state = "draining"
        self.write_entry()
        self.record.write(f"{self.name} has reported that it leaves")

    def write_entry(self):
        with self.lock:
            self.sequence += 1
            entry = {
                "service": self.service,
                "addr": f"{HOST}:{self.port}",
                "zone": self.zone,
                "version": self.version,
                "slots": self.slots,
                "state": self.state,
                "cold_left_ms": 0,
                "seq": self.sequence,
                "born": self.born,
            }
            if self.stage:
                entry["stage"] = self.stage
            return self.store.write("keyed.servers", self.name, entry)

    def stamp(self):
        with self.lock:
            self.stamps += 1
            return f"{self.name}.{self.stamps}"

    def begin(self):
        with self.lock:
            if self.running >= self.slots:
                return False
            self.running += 1
            return True

    def end(self):
        with self.lock:
            self.running = max(self.running - 1, 0)


class WorkerProcess:
    """A worker that runs in a process of its own."""

    def __init__(self, fleet, name, service, zone, slots, **settings):
        self.record, self.name = fleet.record, name
        arguments = {"store_port": fleet.store.port, "name": name, "service": service, "zone": zone, "slots": slots, **settings}
        program = os.path.join(os.path.dirname(os.path.abspath(__file__)), "worker.py")
        command = [sys.executable, program, json.dumps(arguments)]
        self.process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        threading.Thread(target=self.read, daemon=True).start()

    def read(self):
        for line in self.process.stdout:
            self.record.write(line.rstrip())

    def leave(self):
        self.process.stdin.write("leave\n")
        self.process.stdin.flush()

    def kill(self):
        self.record.write(f"{self.name} gets SIGKILL")
        self.process.kill()
        self.process.wait()


class Relay:
    """A relay VM, started as the deploy file says."""

    def __init__(self, fleet, name, zone, store_port):
        self.fleet, self.name = fleet, name
        self.front, self.ready, self.peer = free_port(), free_port(), free_port()
        self.settings = os.path.join(fleet.folder, f"{name}.yaml")
        self.log = open(os.path.join(fleet.folder, f"{name}.log"), "a")
        values = {
            "node": name,
            "zone": zone,
            "zones|json": json.dumps({each: fleet.region for each in fleet.zones}),
            "listen.front": f"{HOST}:{self.front}",
            "listen.ready": f"{HOST}:{self.ready}",
            "ip": HOST,
            "port_range.0": str(self.peer),
            "provider.addr": f"{HOST}:{store_port}",
            "bounds.grace_s|json": "8",
            "limits.memory_mb|json": "260",
            "limits.max_fds|json": "4100",
            "limits.cpu_share": "0.25",
            "bounds.drain_ms": "2000",
            "bounds.evac_ms|json": "",
            "bounds.retry_ratio": "0.2",
            "bounds.retry_slack": "54",
            "bounds.quota_slack": "120000",
        }
        with open(TEMPLATE) as template, open(self.settings, "w") as out:
            out.write(re.sub(r"\{\{([^}]*)\}\}", lambda match: values[match.group(1)], template.read()))
        self.process = None

    def start(self):
        self.process = subprocess.Popen([RELAY, "--settings", self.settings], cwd=ROOT, stdout=self.log, stderr=self.log)

    def send(self, number):
        self.fleet.record.write(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.process.wait()

    def is_ready(self):
        connection = http.client.HTTPConnection(HOST, self.ready, timeout=1)
        try:
            connection.request("GET", "/api/readyz")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()


class Fleet:
    region = "hu-central"
    zones = ("hu-central-a", "hu-central-b", "hu-central-c")

    def __init__(self, folder):
        if not os.access(RELAY, os.X_OK):
            raise CannotRun("target/plantainpoint-relay is missing: run the build line of deploy/system.toml")
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = os.environ.get("KEEP_LOGS") or self.temporary.name
        os.makedirs(self.folder, exist_ok=True)
        self.store = Store()
        self.relays, self.links, self.workers, self.processes = [], [], [], []

    def add_worker(self, name, service, zone, slots, **settings):
        self.workers.append(Worker(self.store, self.record, name, service, self.zones[zone], slots, **settings))

    def add_worker_process(self, name, service, zone, slots, **settings):
        self.processes.append(WorkerProcess(self, name, service, self.zones[zone], slots, **settings))

    def add_relay(self, name, zone):
        self.links.append(Link(self.store.port))
        self.relays.append(Relay(self, name, self.zones[zone], self.links[-1].port))

    def start(self):
        for relay in self.relays:
            relay.start()
        wait_for("all VMs are ready", lambda: all(relay.is_ready() for relay in self.relays), 10.0)

    def stop(self):
        for each in self.relays + self.processes:
            if each.process is not None and each.process.poll() is None:
                each.process.kill()
                each.process.wait()
        self.temporary.cleanup()


def run_case(folder, play):
    """Plays a case and returns its exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    fleet = None
    try:
        fleet = Fleet(folder)
        trouble = os.environ.get("TROUBLE", "1") != "0"
        fleet.record.write("with the disruption" if trouble else "without the disruption")
        broken, text = play(fleet, trouble)
        fleet.record.write(("BROKEN " if broken else "HELD ") + text)
        print(("broken: " if broken else "held: ") + text)
        return 1 if broken else 0
    except Exception as error:  # Anything unexpected means that the case could not run.
        print(f"could not run: {type(error).__name__}: {error}")
        return 2
    finally:
        if fleet is not None:
            fleet.stop()
