"""Runs three relay VMs while sound workers fall silent for a moment, beside planned work in series that overlap, and checks how each request ends.

Planned work is: changes of the configuration, storms, SIGHUP, SIGTERM with a restart at the same ports, releases of workers, and a store that answers
late. One VM at a time gets about a tenth of a core. Callers use kept connections and reuse them for up to four fifths of the idle limit.

The case "idle" has two VMs, one of them slow, and large configurations that lower the idle limit while callers rest. The case "stop" sends the next
request as soon as a stream has ended, to VMs that are slow while they stop. Both are started by hand.

Each request has to get a whole answer, a refusal that is true, or a failure status. Its connection may end without a whole answer only at its deadline or
its route's time limit, in the last sixth of the grace period, or when the request crossed the end of an idle connection and was not passed on. Callers
that end their sending direction after the request are only counted.
"""
import argparse
import collections
import dataclasses
import random
import select
import signal
import socket
import sys
import threading
import time

from platform_path import HOST, REPLY_STAMP, RelayFleet, WorkerHandler, WorkerServer, make_configuration, send_request, wait_for, worker_entry

SEED = 42
SECONDS = 30.0
GRACE_S = 8.0
LAST_SIXTH_S = GRACE_S * 5 / 6
SENT_IN_TIME_S = 3.0  # Requests that are sent later after a SIGTERM may not be cut.
LOSS_SLACK_S = 0.2  # A request that was not passed on may have crossed the end of its connection for this time.
HANDLE_TTL_S = 0.5
DRAIN_S = 2.0  # A released worker goes on serving for this time at least.
SILENCE_S = (0.6, 1.6)
EVENTS, EVENT_PAUSE_S = 16, 0.03
BODY_SIZE = 20_000  # Bytes of a plain answer.
REUSE_FRACTION = 0.8  # Of the idle limit.
LONGEST_IDLE_MS = 4000
ANSWER_TIMEOUT_S = 12.0
FINDING_WINDOW_S = 2.5  # Planned work that is printed with a finding.

STREAM_SILENCES = ("head", "first event", "between events", "inside event", "last chunk", "prefill", "decode")
PLAIN_SILENCES = ("head", "body", "last bytes")
KINDS = {"book": False, "look": True, "draft": False, "resume": True}  # Route, and whether its requests may be repeated.
NOT_RUN_STATUSES = (408, 421, 429, 503)
FAILURE_STATUSES = (500, 502, 504)


def mixed_rest(choices, idle_s):
    return choices.choice((0.0, choices.uniform(0.0, 0.2), choices.uniform(0.5, REUSE_FRACTION) * idle_s))


def long_rest(choices, _):
    """Callers know the longest limit only: that of most configurations."""
    return choices.choice((choices.uniform(0.0, 0.2), *(choices.uniform(0.2, REUSE_FRACTION) * LONGEST_IDLE_MS / 1000 for _ in range(2))))


def no_rest(_, __):
    return 0.0


@dataclasses.dataclass(frozen=True)
class Case:
    vms: tuple = ("vm-1", "vm-2", "vm-3")
    callers: int = 30
    half_closing_callers: int = 2
    keys: int = 1  # Of another account, in each configuration.
    slots: int = 8  # Of prefill and decode workers.
    kinds: tuple = ("book", "look", "draft", "resume", "draft")
    silent_share: float = 0.5
    rest: object = mixed_rest
    idle_ms: tuple = (1000, 1500, 2500, LONGEST_IDLE_MS)
    config_pause: tuple = (0.15, 0.7)  # Seconds.
    slow_run: float = 0.02  # Seconds of the processor time that a slow VM gets, between two times in which it stands still.
    slow_stop: float = 0.13
    slow_vms: str = "any"  # Or "first", or "leaving".
    series: tuple = ("config", "store", "release", "silence", "stop", "hup", "slow", "storm")


CASES = {
    "all": Case(),
    "idle": Case(
        vms=("vm-1", "vm-2"),
        callers=500,
        half_closing_callers=0,
        keys=60_000,
        kinds=("book", "look", "book", "look", "book", "look", "draft"),
        silent_share=0.2,
        rest=long_rest,
        idle_ms=(1000, LONGEST_IDLE_MS, LONGEST_IDLE_MS),
        config_pause=(0.6, 1.2),
        slow_run=0.015,
        slow_stop=0.135,
        slow_vms="first",
        series=("config", "release", "silence", "hup", "slow"),
    ),
    "stop": Case(
        vms=("vm-1", "vm-2"),
        callers=300,
        half_closing_callers=0,
        keys=20_000,
        slots=64,
        kinds=("look", "draft", "resume", "draft"),
        silent_share=0.1,
        rest=no_rest,
        slow_run=0.01,
        slow_stop=0.14,
        slow_vms="leaving",
    ),
}


class Journal:
    """What workers have run, and what was planned when."""

    def __init__(self):
        self.lock = threading.Lock()
        self.began = time.monotonic()
        self.runs = collections.defaultdict(list)
        self.prefills = collections.defaultdict(int)
        self.events = []
        self.timeouts = []  # Time of the change, time limit of the routes in seconds.
        self.handles = {}
        self.lapsed_handles = 0

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        with self.lock:
            self.events.append((self.now(), text))

    def limit_between(self, begin, end):
        with self.lock:
            before = [limit for at, limit in self.timeouts if at <= begin]
            return min(before[-1:] + [limit for at, limit in self.timeouts if begin - 3.0 <= at <= end])


class Handler(WorkerHandler):
    def do_DELETE(self):
        with self.server.journal.lock:
            self.server.journal.handles.pop(self.path.rsplit("/", 1)[1], None)
        self.send_answer(200, b"")

    def do_GET(self):
        self.send_answer(404, b"")

    def do_POST(self):
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        server = self.server
        server.wait()
        if self.headers.get("X-Expect-Instance") != server.name:
            self.send_answer(421, b"", [("X-Not-Run", "1")])
            return
        with server.journal.lock:
            full = server.active >= server.slots
            server.active += not full
        if full:
            self.send_answer(503, b"", [("X-Not-Run", "1")])
            return
        try:
            self.work(body)
        except OSError:
            self.close_connection = True
        finally:
            with server.journal.lock:
                server.active -= 1

    def work(self, body):
        request_id = self.headers.get("X-Request-Id")
        journal = self.server.journal
        kind, _, silence = (self.headers.get("X-Silence") or "").partition("=")
        self.silence_kind, self.silence = kind, float(silence or 0)
        if self.headers.get("X-Stage") == "prefill":
            self.prefill(request_id)
            return
        if not self.take_handle():
            self.send_answer(503, b"", [("X-Not-Run", "1")])
            return
        run = {"worker": self.server.name, "begin": journal.now(), "end": None, "first": int(self.headers.get("Last-Event-Id") or 0) + 1}
        with journal.lock:
            journal.runs[request_id].append(run)
            repeated = len(journal.runs[request_id]) > 1
        if repeated:
            self.silence_kind = ""
        try:
            if self.server.stage:
                self.stream_events(run["first"])
            else:
                self.send_plain(request_id, body)
            run["end"] = f"whole at {journal.now():.2f}"
        except OSError as error:
            run["end"] = f"{type(error).__name__} at {journal.now():.2f}"
            raise

    def fall_silent(self, kind):
        self.server.wait()
        if self.silence_kind == kind:
            time.sleep(self.silence)

    def prefill(self, request_id):
        journal = self.server.journal
        with journal.lock:
            journal.prefills[request_id] += 1
            if journal.prefills[request_id] > 1:
                self.silence_kind = ""
        time.sleep(0.02)
        self.fall_silent("prefill")
        handle = f"h{time.monotonic_ns()}"
        with journal.lock:
            journal.handles[handle] = time.monotonic() + HANDLE_TTL_S
        self.send_answer(200, b'{"kv_handle":"%s","tokens":5000,"version":1}' % handle.encode())

    def take_handle(self):
        source = self.headers.get("X-Kv-Source")
        if self.server.stage != "decode":
            return True
        if source is None:
            time.sleep(0.08)  # It reads the prompt itself.
            return True
        self.fall_silent("decode")
        journal = self.server.journal
        with journal.lock:
            valid = journal.handles.pop(source.rsplit("/", 1)[1], 0.0) > time.monotonic()
            journal.lapsed_handles += not valid
        return valid

    def send_head(self, headers):
        self.fall_silent("head")
        self.send_response(200)
        self.send_header("X-Request-Id", self.headers.get("X-Request-Id", ""))
        self.send_header("X-Reply-Stamp", REPLY_STAMP)
        for name, value in headers:
            self.send_header(name, value)
        self.end_headers()

    def send_plain(self, request_id, body):
        answer = plain_answer(request_id, body)
        time.sleep(0.01)
        self.send_head([("Content-Length", str(len(answer)))])
        self.wfile.write(answer[:7000])
        self.fall_silent("body")
        self.wfile.write(answer[7000:-5])
        self.fall_silent("last bytes")
        self.wfile.write(answer[-5:])

    def stream_events(self, first):
        self.send_head([("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")])
        self.fall_silent("first event")
        for number in range(first, EVENTS + 1):
            event = event_text(number)
            if number == EVENTS // 2:
                self.fall_silent("between events")
                if self.silence_kind == "inside event":
                    self.send_chunk(event[:9])
                    self.fall_silent("inside event")
                    event = event[9:]
            self.server.wait()
            self.send_chunk(event)
            time.sleep(EVENT_PAUSE_S)
        self.fall_silent("last chunk")
        self.wfile.write(b"0\r\n\r\n")

    def send_chunk(self, data):
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))


class Server(WorkerServer):
    request_queue_size = 128

    def wait(self):
        """Waits while the whole worker is silent."""
        while (left := self.silent_until - time.monotonic()) > 0:
            time.sleep(left)


def listening_ports(count):
    """Returns ports below the range from which the system takes those of outgoing connections, so that none of these takes a port of a restarting VM."""
    ports = []
    while len(ports) < count:
        port = random.SystemRandom().randint(10_000, 32_000)
        with socket.socket() as probe:
            if port not in ports and probe.connect_ex((HOST, port)) != 0:
                ports.append(port)
    return ports


def event_text(number):
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def plain_answer(request_id, body):
    return (b"booked:%s:%s:" % (request_id.encode(), body)).ljust(BODY_SIZE, b".")


class Connection:
    """One connection of a caller. Reads answers and tells how one ended: "answer", "eof", "reset" or "timeout"."""

    def __init__(self, vm, boot, port):
        self.vm, self.boot, self.data, self.used_at = vm, boot, b"", time.monotonic()
        self.socket = socket.create_connection((HOST, port), timeout=1.0)
        self.socket.settimeout(ANSWER_TIMEOUT_S)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def is_closed(self):
        return bool(select.select([self.socket], [], [], 0)[0])

    def receive_until(self, condition):
        while not condition():
            data = self.socket.recv(65536)
            if not data:
                raise EOFError
            self.data += data

    def read_answer(self, request):
        try:
            self.receive_until(lambda: b"\r\n\r\n" in self.data)
            head, _, self.data = self.data.partition(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            request.status = int(lines[0].split(" ")[1])
            request.headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
            if "content-length" in request.headers:
                length = int(request.headers["content-length"])
                self.receive_until(lambda: len(self.data) >= length)
                request.body, self.data = self.data[:length], self.data[length:]
            else:
                self.read_chunks(request)
            request.end = "answer"
        except EOFError:
            request.end = "eof"
        except TimeoutError:
            request.end = "timeout"
        except OSError as error:
            request.end = "reset"
            request.error = repr(error)
        return request.end == "answer" and request.headers.get("connection", "") != "close"

    def read_chunks(self, request):
        while True:
            self.receive_until(lambda: b"\r\n" in self.data)
            size = int(self.data.split(b"\r\n", 1)[0], 16)
            start = self.data.index(b"\r\n") + 2
            self.receive_until(lambda start=start, size=size: len(self.data) >= start + size + 2)
            request.body += self.data[start : start + size]
            self.data = self.data[start + size + 2 :]
            if size == 0:
                return

    def close(self):
        self.socket.close()


class Request:
    def __init__(self, request_id, kind, silence, deadline, half_closed):
        self.id, self.kind, self.silence, self.deadline, self.half_closed = request_id, kind, silence, deadline, half_closed
        self.vm, self.boot, self.rested, self.sent, self.ended = None, None, None, None, None
        self.status, self.headers, self.body, self.end, self.error = None, {}, b"", None, ""

    def is_stream(self):
        return self.kind in ("draft", "resume")

    def content(self):
        return f"x-{self.id}".encode()

    def to_bytes(self):
        tokens = "X-Model: m\r\nX-Token-Count: 5000,20\r\n" if self.is_stream() else ""
        silence = f"X-Silence: {self.silence[0]}={self.silence[1]:.2f}\r\n" if self.silence else ""
        body = self.content()
        return (
            f"POST /{self.kind}/1 HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {self.id}\r\nX-Deadline-Ms: {self.deadline * 1000:.0f}\r\n"
            f"Authorization: Bearer k-1\r\n{tokens}{silence}Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body

    def __str__(self):
        silence = f"silent {self.silence[0]} for {self.silence[1]:.2f} s" if self.silence else "no silence of its own"
        return (
            f"{self.id} at {self.vm} boot {self.boot}: {silence}, connection rested {self.rested:.2f} s, sent at {self.sent:.2f}, ended at {self.ended:.2f} "
            f"by {self.end} {self.error}, status {self.status}, {len(self.body)} bytes"
        )


class Play:
    def __init__(self, arguments):
        self.journal = Journal()
        self.fleet = RelayFleet(arguments.build)
        self.seed, self.seconds, self.freeze = arguments.seed, arguments.seconds, arguments.freeze
        self.case = CASES[arguments.case]
        self.version, self.sent_configs, self.idle_s, self.moved = 0, 0, 3.0, False
        self.store_lock = threading.Lock()
        self.workers, self.worker_count = [], 0
        self.boots = {name: 0 for name in self.case.vms}
        self.stopped, self.open_vms, self.logs, self.slow = {}, set(), {}, []
        self.requests = []
        self.done = threading.Event()
        self.threads = []
        self.errors = []

    def choices(self, name):
        return random.Random(f"{self.seed}-{name}")

    # --- The operator.

    def append(self, topic, key, value):
        with self.store_lock:
            for _ in range(100):
                try:
                    self.fleet.append_to_log(topic, key, value)
                    return
                except (AssertionError, OSError):
                    time.sleep(0.05)
        raise RuntimeError(f"the store took no record of {topic}")

    def configure(self, choices):
        self.version += choices.randint(1, 4)
        self.sent_configs += 1
        config = make_configuration(self.version, ["k-1"])
        timeout_ms = choices.choice((4000, 5000, 6000, 7000))
        self.moved = choices.random() < 0.5 if choices.random() < 0.3 else self.moved
        config["routes"].append({**config["routes"][2], "name": "resume", "path_prefix": "/resume/", "resumable": True})
        for route in config["routes"]:
            route.update(timeout_ms=timeout_ms, attempts=choices.choice((1, 2, 3)), priority=choices.randint(0, 3), slo_ms=choices.choice((900, 2000)))
            if self.moved:
                route["service"] += "-b"
        if choices.random() < 0.4:
            config["routes"].append({**config["routes"][0], "name": "extra", "path_prefix": f"/extra-{self.version}/"})
        config["services"][1]["engine"].update(slots=self.case.slots, kv_tokens=10_000_000)
        config["services"] += [{**service, "name": service["name"] + "-b"} for service in config["services"]]
        idle_ms = choices.choice(self.case.idle_ms)
        config["limits"].update(idle_ms=idle_ms, body_bytes=choices.choice((32768, 65536)), header_bytes=choices.choice((8192, 16384)))
        config["tenants"][0].update(rate_per_s=10_000_000, burst=10_000_000)
        keys = [f"other-{choices.randint(1, 10**9)}" for _ in range(self.case.keys)]
        config["tenants"].append({"name": "t2", "api_keys": keys, "rate_per_s": 10, "burst": 10, "priority": choices.randint(0, 3)})
        with self.journal.lock:
            self.journal.timeouts.append((self.journal.now(), timeout_ms / 1000))
        self.append("keyed.op", "config", config)
        self.idle_s = idle_ms / 1000
        self.journal.note(f"configuration {self.version} idle_ms={idle_ms} timeout_ms={timeout_ms} moved={self.moved}")

    def change_configurations(self):
        choices = self.choices("config")
        while not self.done.wait(choices.uniform(*self.case.config_pause)):
            self.configure(choices)

    def slow_store(self):
        choices = self.choices("store")
        while not self.done.wait(choices.uniform(2.0, 5.0)):
            mode, span = choices.choice(("silent", "silent", "busy", "reset")), choices.uniform(0.2, 1.0)
            self.journal.note(f"store {mode} for {span:.2f} s")
            self.fleet.configure_store(mode=mode, lose_answers=choices.choice((0, 0, 1)))
            time.sleep(span)
            self.fleet.configure_store(mode="up", lose_answers=0)

    # --- Workers.

    def add_worker(self, service, stage=None):
        self.worker_count += 1
        server = Server((HOST, 0), Handler)
        server.name, server.stage, server.received, server.service = f"i-{service}-{stage or 'plain'}-{self.worker_count}", stage, [], service
        server.journal, server.silent_until, server.active, server.slots = self.journal, 0.0, 0, self.case.slots if stage else 64
        threading.Thread(target=server.serve_forever, daemon=True).start()
        entry = {**worker_entry(server, service, stage), "slots": server.slots, "born": self.worker_count}
        self.workers.append(server)
        self.append("keyed.servers", server.name, entry)
        return server

    def release_workers(self):
        choices = self.choices("release")
        while not self.done.wait(choices.uniform(3.0, 6.0)):
            worker = choices.choice(self.workers)
            joined = self.add_worker(worker.service, worker.stage)
            self.journal.note(f"{worker.name} is draining, {joined.name} joins")
            self.workers.remove(worker)
            entry = {**worker_entry(worker, worker.service, worker.stage), "slots": worker.slots, "state": "draining", "seq": 2}
            self.append("keyed.servers", worker.name, entry)
            thread = threading.Thread(target=self.end_worker, args=(worker, choices.uniform(0.2, 1.5)))
            thread.start()
            self.threads.append(thread)

    def end_worker(self, worker, extra):
        time.sleep(DRAIN_S + extra)
        self.append("keyed.servers", worker.name, b"")
        self.journal.note(f"{worker.name} is gone")
        time.sleep(DRAIN_S)
        wait_for(f"{worker.name} ends its work", lambda: worker.active == 0, 20.0)
        worker.shutdown()
        worker.server_close()

    def silence_workers(self):
        choices = self.choices("silence")
        while not self.done.wait(choices.uniform(0.4, 1.6)):
            worker, span = choices.choice(self.workers), choices.uniform(*SILENCE_S)
            worker.silent_until = time.monotonic() + span
            self.journal.note(f"{worker.name} is silent for {span:.2f} s")

    # --- VMs.

    def start_vm(self, name):
        self.boots[name] += 1
        ports = self.fleet.relays[name][1] if name in self.fleet.relays else listening_ports(3)
        number = len(self.fleet.processes)
        self.fleet.start_relay(name, ports, settings="logging:\n  lines_per_second: 100000\n")
        self.logs[name, self.boots[name]] = f"{self.fleet.folder}/plantainpoint-relay-{number}.log"

    def signal_vm(self, name, number):
        process = self.fleet.relays[name][0]
        if process.poll() is None:
            process.send_signal(number)

    def stop_vms(self):
        choices = self.choices("stop")
        order = list(self.case.vms)
        choices.shuffle(order)
        self.done.wait(3.0)
        while not self.done.wait(choices.uniform(0.3, 2.0)):
            name = order[0]
            order = order[1:] + order[:1]
            process = self.fleet.relays[name][0]
            self.journal.note(f"SIGTERM {name}")
            stopped_at = time.monotonic()
            self.stopped[name, self.boots[name]] = self.journal.now()
            self.signal_vm(name, signal.SIGTERM)
            time.sleep(1.5)  # Until the platform has seen that it is not ready.
            self.open_vms.discard(name)
            try:
                code = process.wait(timeout=stopped_at + GRACE_S - time.monotonic())
            except Exception:
                process.kill()
                code = process.wait()
            if code != 0:
                self.errors.append(f"{name} boot {self.boots[name]} ended with {code} after {time.monotonic() - stopped_at:.2f} s")
            self.journal.note(f"{name} ended with {code} after {time.monotonic() - stopped_at:.2f} s")
            self.start_vm(name)
            wait_for(f"{name} is ready again", lambda name=name: self.fleet.is_ready(name), 12.0)
            self.open_vms.add(name)

    def hang_up_vms(self):
        choices = self.choices("hup")
        while not self.done.wait(choices.uniform(0.5, 2.5)):
            name = choices.choice(self.case.vms)
            self.journal.note(f"SIGHUP {name}")
            self.signal_vm(name, signal.SIGHUP)

    def vms_to_slow(self):
        if self.case.slow_vms == "any":
            return self.case.vms
        if self.case.slow_vms == "first":
            return self.case.vms[:1]
        return [name for name, boot in list(self.stopped) if boot == self.boots[name]] or [None]

    def slow_vms(self):
        choices = self.choices("slow")
        while not self.done.wait(choices.uniform(1.0, 4.0) if self.case.slow_vms == "any" else 0.05):
            name, span = choices.choice(self.vms_to_slow()), choices.uniform(1.5, 4.0)
            if name is None:
                continue
            self.journal.note(f"{name} is slow for {span:.2f} s")
            begin, end = self.journal.now(), time.monotonic() + span
            if self.freeze > 0:
                self.freeze_vm(name, choices.uniform(self.freeze / 3, self.freeze))
            while time.monotonic() < end:
                process = self.fleet.relays[name][0]
                if process.poll() is not None:
                    break
                process.send_signal(signal.SIGSTOP)
                time.sleep(self.case.slow_stop)
                process.send_signal(signal.SIGCONT)
                time.sleep(self.case.slow_run)
            self.slow.append((name, begin, self.journal.now()))

    def freeze_vm(self, name, span):
        self.journal.note(f"{name} stands still for {span:.2f} s")
        self.signal_vm(name, signal.SIGSTOP)
        time.sleep(span)
        self.signal_vm(name, signal.SIGCONT)

    # --- Callers.

    def connect(self, choices):
        while True:
            names = sorted(self.open_vms)
            name = choices.choice(names)
            try:
                return Connection(name, self.boots[name], self.fleet.relays[name][1][0])
            except OSError:
                if self.done.is_set() and not self.open_vms:
                    return None
                time.sleep(0.05)

    def make_request(self, choices, request_id, half_closed=False):
        kind = choices.choice(self.case.kinds)
        silence = None
        if choices.random() < self.case.silent_share:
            silence = (choices.choice(STREAM_SILENCES if kind in ("draft", "resume") else PLAIN_SILENCES), choices.uniform(*SILENCE_S))
        return Request(request_id, kind, silence, choices.uniform(5.0, 8.0), half_closed)

    def exchange(self, connection, request):
        request.vm, request.boot, request.rested = connection.vm, connection.boot, time.monotonic() - connection.used_at
        request.sent = self.journal.now()
        try:
            connection.socket.sendall(request.to_bytes())
            if request.half_closed:
                connection.socket.shutdown(socket.SHUT_WR)
            kept = connection.read_answer(request)
        except OSError as error:
            request.end, request.error, kept = "reset", repr(error), False
        request.ended = self.journal.now()
        connection.used_at = time.monotonic()
        with self.journal.lock:
            self.requests.append(request)
        return kept and not request.half_closed

    def call(self, number):
        choices = self.choices(f"caller-{number}")
        half_closed = number < self.case.half_closing_callers
        connection, count = None, 0
        while not self.done.is_set():
            time.sleep(self.case.rest(choices, self.idle_s))
            # A configuration that lowered the idle limit meanwhile is not known to the caller.
            if connection is not None and connection.is_closed():
                connection.close()
                connection = None
            connection = connection or self.connect(choices)
            count += 1
            request = self.make_request(choices, f"{'half' if half_closed else 'kept'}-{number}-{count}", half_closed)
            if not self.exchange(connection, request):
                connection.close()
                connection = None
        if connection is not None:
            connection.close()

    def storm(self):
        choices = self.choices("storm")
        number = 0
        while not self.done.wait(choices.uniform(4.0, 8.0)):
            number += 1
            size = choices.randint(20, 60)
            self.journal.note(f"storm of {size} requests")
            threads = [threading.Thread(target=self.call_once, args=(f"storm-{number}-{i}", choices.uniform(0.0, 0.5))) for i in range(size)]
            for thread in threads:
                thread.start()
            self.threads += threads

    def call_once(self, request_id, delay):
        time.sleep(delay)
        choices = self.choices(request_id)
        connection = self.connect(choices)
        if connection is not None:
            self.exchange(connection, self.make_request(choices, request_id))
            connection.close()

    # --- The check.

    def finding_of(self, request):
        """Returns what is wrong with the end of a request, or nothing, and what it counts as."""
        runs = self.journal.runs.get(request.id, [])
        if len(runs) > 1 and not KINDS[request.kind]:
            return "ran twice", None
        if request.end == "answer":
            return self.finding_of_answer(request, runs)
        elapsed = request.ended - request.sent
        limit = min(request.deadline, self.journal.limit_between(request.sent, request.ended))
        if elapsed >= limit * 0.97:
            return None, "excused: out of time"
        stopped = self.stopped.get((request.vm, request.boot))
        if stopped is not None and request.sent <= stopped + SENT_IN_TIME_S and request.ended >= stopped + LAST_SIXTH_S:
            return None, "excused: grace period"
        passed_on = bool(runs) or request.id in self.journal.prefills
        if not passed_on and request.status is None:
            if elapsed <= LOSS_SLACK_S:
                return None, "excused: crossed a close"
            return f"closed by {request.end} without an answer and not passed on", None
        return f"passed on and cut {'after the head' if request.status else 'before the head'}", None

    def finding_of_answer(self, request, runs):
        status = request.status
        if status == 200:
            body = b"".join(event_text(number) for number in range(1, EVENTS + 1)) if request.is_stream() else plain_answer(request.id, request.content())
            if request.body != body or request.headers.get("x-request-id") != request.id or request.headers.get("x-reply-stamp") != REPLY_STAMP:
                return "a whole answer with wrong content", None
            return None, "whole"
        if status in NOT_RUN_STATUSES:
            if runs and not KINDS[request.kind]:
                return f"refused with {status} although it ran", None
            return None, f"refused with {status}"
        if status in FAILURE_STATUSES:
            return None, f"failed with {status}"
        return f"denied with {status}", None

    def explain(self, request):
        yield str(request)
        yield f"  runs {self.journal.runs.get(request.id)}, prefills {self.journal.prefills.get(request.id, 0)}, body ends {request.body[-80:]!r}"
        if any(name == request.vm and begin <= request.ended and request.sent <= end + 0.2 for name, begin, end in self.slow):
            yield "  the VM was slow"
        for at, text in self.journal.events:
            if request.sent - FINDING_WINDOW_S <= at <= request.ended:
                yield f"  {at:.2f} {text}"
        with open(self.logs[request.vm, request.boot], encoding="utf-8", errors="replace") as log:
            for line in log:
                if f"request={request.id} " in line:
                    yield f"  log: {line.rstrip()}"

    def check(self):
        counts, findings, ends = collections.Counter(), collections.Counter(), collections.Counter()
        for request in sorted(self.requests, key=lambda request: request.sent):
            finding, counted_as = self.finding_of(request)
            if request.half_closed:
                passed_on = request.id in self.journal.runs or request.id in self.journal.prefills
                ends[f"status {request.status}" if request.end == "answer" else f"{request.end}, {'' if passed_on else 'not '}passed on"] += 1
                continue
            if finding is None:
                counts[counted_as] += 1
                if counted_as.startswith(("failed", "excused: out", "excused: grace", "excused: cro")):
                    print("\n".join([f"note: {counted_as}", *self.explain(request)]))
                continue
            findings[finding] += 1
            print("\n".join([f"finding: {finding}", *self.explain(request)]))
        for error in self.errors:
            findings[error] += 1
        silent = sum(request.silence is not None for request in self.requests)
        print(f"seed {self.seed}: {len(self.requests)} requests, {silent} with a silence of their own, {self.sent_configs} configurations, {len(self.stopped)} SIGTERMs")
        print(f"prefill results that had lapsed: {self.journal.lapsed_handles}")
        print(f"ends: {dict(sorted(counts.items()))}")
        print(f"callers that ended their sending direction: {dict(sorted(ends.items()))}")
        print(f"findings: {dict(sorted(findings.items()))}; logs in {self.fleet.folder}")
        assert counts["whole"] > len(self.requests) // 2, "less than half of the requests were served"
        return not findings

    def guard(self, task):
        try:
            task()
        except Exception as error:  # The other threads go on, and the play fails.
            self.errors.append(f"{task.__name__}: {error!r}")

    def run(self):
        wait_for("the store listens", lambda: socket.socket().connect_ex((HOST, self.fleet.store_port)) == 0, 5.0)
        self.configure(self.choices("first config"))
        for service in ("desk", "desk-b"):
            for _ in range(2):
                self.add_worker(service)
        for service in ("llm", "llm-b"):
            for stage in ("prefill", "prefill", "decode", "decode", "decode"):
                self.add_worker(service, stage)
        for name in self.case.vms:
            self.start_vm(name)
        for name in self.case.vms:
            wait_for(f"{name} is ready", lambda name=name: self.fleet.is_ready(name), 6.0)
        time.sleep(1.5)
        self.open_vms.update(self.case.vms)
        series = {
            "config": self.change_configurations,
            "store": self.slow_store,
            "release": self.release_workers,
            "silence": self.silence_workers,
            "stop": self.stop_vms,
            "hup": self.hang_up_vms,
            "slow": self.slow_vms,
            "storm": self.storm,
        }
        callers = [threading.Thread(target=self.guard, args=(lambda number=number: self.call(number),)) for number in range(self.case.callers)]
        planned = [threading.Thread(target=self.guard, args=(task,)) for task in (series[name] for name in self.case.series)]
        for thread in callers + planned:
            thread.start()
        time.sleep(self.seconds)
        self.done.set()
        for thread in callers + planned + self.threads:
            thread.join()
        return self.check()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    parser.add_argument("--seed", type=int, default=SEED)
    parser.add_argument("--seconds", type=float, default=SECONDS)
    parser.add_argument("--case", choices=CASES, default="all")
    parser.add_argument("--freeze", type=float, default=0.0, help="seconds for which VMs stand still at most")
    arguments = parser.parse_args()
    play = Play(arguments)
    try:
        clean = play.run()
    finally:
        play.fleet.stop()
    print(f"silent planned work: {'ok' if clean else 'failed'}")
    return 0 if clean else 1


if __name__ == "__main__":
    sys.exit(main())
