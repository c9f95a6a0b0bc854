"""Opens many connections to a relay VM which hold as many bytes as they can, and measures its memory and its open descriptors.

Most uploads stop one byte short of their end and stay open. Guards against a VM that the platform ends, with the requests of all its callers, as it has more
memory or more descriptors in use than its machine allows. While the crowd is still there, an ordinary request is answered. Each case has a VM of its own.
"""
import argparse
import os
import resource
import socket
import sys
import threading
import time

from platform_path import HOST, REPLY_STAMP, RelayFleet, WorkerHandler, WorkerServer, make_configuration, send_request, wait_for, worker_entry

# The crowd and the bounds. MEMORY_MB is the default of the setting memory_mb.
MEMORY_MB = 110
SMALLEST_MEMORY_MB = 88  # Of the smallest machine of a deployment.
DESCRIPTORS = 300
CALLERS = 120
BODY_SIZE = 4 * 1024 * 1024  # Bytes. The limit of a body.
HEAD_SIZE = 16 * 1024  # Bytes. The limit of a head.
ANSWER_SIZE = 3 * 1024 * 1024  # Bytes.
SHORT_OF_TEN = 9  # So many of ten uploads stop one byte short of their end.
MANY_CONNECTIONS = 400
SEND_TIME_S = 12  # A caller sends for at most so long.
ORDINARY_TIME_S = 30

HEAD = "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 14000\r\nAuthorization: Bearer k-1\r\nX-Model: m\r\nX-Token-Count: 500,20\r\n"
PIECE = b"p" * 65536
BODY = b"b" * BODY_SIZE
TINY_CHUNKS = b"1\r\nx\r\n" * 10_000


class Handler(WorkerHandler):
    def do_POST(self):
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        self.send_answer(200, b"a" * ANSWER_SIZE if "large" in self.path else b"booked:" + body[:100])


def start_worker(name):
    server = WorkerServer((HOST, 0), Handler)
    server.name, server.stage, server.received = name, None, []
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class Caller:
    """One connection. It stays open until close()."""

    def __init__(self, port, number, send, host=HOST):
        self.host, self.port, self.number, self.send_case = host, port, number, send
        self.stops_short = number % 10 < SHORT_OF_TEN
        self.connection, self.sent, self.fault = None, 0, None
        self.thread = threading.Thread(target=self.run, daemon=True)

    def head(self, fields, path="/book/1"):
        return (HEAD.format(path=path, id=f"held-{self.number}-{time.monotonic_ns()}") + fields + "\r\n").encode()

    def run(self):
        self.deadline = time.monotonic() + SEND_TIME_S
        try:
            self.connection = socket.create_connection((self.host, self.port), timeout=SEND_TIME_S)
            self.send_case(self)
        except OSError as error:
            self.fault = type(error).__name__

    def send(self, data):
        """Returns whether the caller may go on."""
        left = self.deadline - time.monotonic()
        if left <= 0:
            return False
        self.connection.settimeout(left)
        view = memoryview(data)
        while view:
            size = self.connection.send(view)
            self.sent += size
            view = view[size:]
        return True

    def close(self):
        if self.connection is not None:
            self.connection.close()


def send_whole(caller):
    size = BODY_SIZE - caller.stops_short
    caller.send(caller.head(f"Content-Length: {BODY_SIZE}\r\n") + BODY[:size])


def send_pieces(caller):
    caller.send(caller.head(f"Content-Length: {BODY_SIZE}\r\n"))
    for _ in range(BODY_SIZE // len(PIECE) - 1):
        if not caller.send(PIECE):
            return
        time.sleep(0.01)
    caller.send(PIECE[caller.stops_short :])


def send_large_chunks(caller):
    caller.send(caller.head("Transfer-Encoding: chunked\r\n"))
    size = 1024 * 1024
    for _ in range(BODY_SIZE // size):
        if not caller.send(b"%x\r\n" % size + BODY[:size] + b"\r\n"):
            return
    if not caller.stops_short:
        caller.send(b"0\r\n\r\n")


def send_tiny_chunks(caller):
    caller.send(caller.head("Transfer-Encoding: chunked\r\n"))
    for _ in range(BODY_SIZE // 10_000):
        if not caller.send(TINY_CHUNKS):
            return
    if not caller.stops_short:
        caller.send(b"0\r\n\r\n")


def send_chunks_over_the_limit(caller):
    caller.send(caller.head("Transfer-Encoding: chunked\r\n"))
    for _ in range(3 * BODY_SIZE // len(PIECE)):
        if not caller.send(b"%x\r\n" % len(PIECE) + PIECE + b"\r\n"):
            return


def send_length_over_the_limit(caller):
    caller.send(caller.head(f"Content-Length: {2 * BODY_SIZE}\r\n") + BODY)


def send_on_kept_connection(caller):
    caller.send(caller.head("Content-Length: 2\r\n") + b"ok")
    caller.connection.recv(65536)
    send_whole(caller)


def send_pipelined(caller):
    small = caller.head("Content-Length: 2\r\n") + b"ok"
    caller.send(small + small + caller.head(f"Content-Length: {BODY_SIZE}\r\n") + BODY[: BODY_SIZE - caller.stops_short])


def ask_and_read_nothing(caller):
    time.sleep(caller.number * 0.05)  # Answers that arrive at the same time have a bound of their own.
    caller.connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    for _ in range(4):  # The system's buffers take about one answer.
        caller.send(caller.head("Content-Length: 2\r\n", "/book/large") + b"ok")


def send_endless_head(caller):
    caller.send(caller.head("")[:-2] + b"X-Filler: " + b"f" * (HEAD_SIZE - 1000))
    while caller.send(b"f"):
        time.sleep(1.0)


def rest(caller):
    if caller.number % 2:
        caller.send(b"POST /book/1 HT")


CASES = {
    "whole": (send_whole, CALLERS),
    "pieces": (send_pieces, CALLERS),
    "large chunks": (send_large_chunks, CALLERS),
    "tiny chunks": (send_tiny_chunks, CALLERS),
    "chunks over the limit": (send_chunks_over_the_limit, CALLERS),
    "length over the limit": (send_length_over_the_limit, CALLERS),
    "kept connections": (send_on_kept_connection, CALLERS),
    "pipelined": (send_pipelined, CALLERS),
    "slow readers": (ask_and_read_nothing, CALLERS),
    "endless heads": (send_endless_head, MANY_CONNECTIONS),
    "connections": (rest, MANY_CONNECTIONS),
}
DESCRIPTOR_CASES = ("endless heads", "connections")


def peak_memory_mb(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmHWM")) * 1024 / 1e6


class DescriptorWatch:
    def __init__(self, pid):
        self.pid, self.peak, self.ended = pid, 0, False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.ended:
            try:
                self.peak = max(self.peak, len(os.listdir(f"/proc/{self.pid}/fd")))
            except OSError:
                return
            time.sleep(0.02)


def first_line(caller):
    try:
        caller.connection.settimeout(0.2)
        return caller.connection.recv(4096).split(b"\r\n")[0].decode("ascii", "replace")
    except OSError as error:
        return type(error).__name__


def ordinary_request(fleet, name):
    headers = {"Host": "shop.example", "X-Request-Id": "ordinary", "X-Deadline-Ms": "14000", "Authorization": "Bearer k-1"}
    try:
        return send_request(fleet.relays[name][1][0], "POST", "/book/1", b"b" * 600, headers, ORDINARY_TIME_S)[0]
    except OSError as error:
        return type(error).__name__


def check(fleet, number, case, with_settings):
    send, count = CASES[case]
    settings = f"memory_mb: {MEMORY_MB}\n"
    if case in DESCRIPTOR_CASES:
        settings += f"max_descriptors: {DESCRIPTORS}\n"
    settings = settings if with_settings else ""
    name = f"vm-{number}"
    fleet.start_relay(name, settings=settings)
    wait_for(f"{name} is ready", lambda: fleet.is_ready(name), 15.0)
    process, ports = fleet.relays[name]
    watch = DescriptorWatch(process.pid)
    before = peak_memory_mb(process.pid)
    callers = [Caller(ports[0], each, send) for each in range(count)]
    for caller in callers:
        caller.thread.start()
    for caller in callers:
        caller.thread.join()
    time.sleep(3.0)  # What the VM allows slow and resting callers has passed.
    is_alive = process.poll() is None
    ordinary = ordinary_request(fleet, name)
    peak = peak_memory_mb(process.pid) if is_alive else None
    watch.ended = True
    watch.thread.join()
    answers = {}
    for caller in callers:
        line = first_line(caller) if caller.connection is not None else caller.fault
        answers[line] = answers.get(line, 0) + 1
        caller.close()
    sent = sum(caller.sent for caller in callers) / 1e6
    bound = f", at most {watch.peak} of {DESCRIPTORS} descriptors" if case in DESCRIPTOR_CASES else f", {watch.peak} descriptors"
    print(f"{case}: {before:.0f} MB before, {sent:.0f} MB sent by {count} callers, at most {peak and round(peak)} of {MEMORY_MB} MB{bound}, ordinary {ordinary}, {answers}")
    sys.stdout.flush()
    faults = []
    if not is_alive:
        faults.append(f"{case}: the VM has ended")
    elif peak > MEMORY_MB:
        faults.append(f"{case}: {peak:.0f} MB, allowed {MEMORY_MB} MB")
    if case in DESCRIPTOR_CASES and watch.peak > DESCRIPTORS:
        faults.append(f"{case}: {watch.peak} descriptors, allowed {DESCRIPTORS}")
    if ordinary != 200:
        faults.append(f"{case}: an ordinary request got {ordinary}")
    process.kill()
    process.wait()
    return faults


def check_single(fleet):
    """Guards against a budget that refuses one request within the limits on the smallest machine."""
    fleet.start_relay("vm-small", settings=f"memory_mb: {SMALLEST_MEMORY_MB}\n")
    wait_for("vm-small is ready", lambda: fleet.is_ready("vm-small"), 15.0)
    process, ports = fleet.relays["vm-small"]
    headers = {"Host": "shop.example", "X-Request-Id": "single", "X-Deadline-Ms": "14000", "Authorization": "Bearer k-1", "X-Filler": "f" * (HEAD_SIZE - 1000)}
    status, body, _ = send_request(ports[0], "POST", "/book/1", BODY, headers, ORDINARY_TIME_S)
    peak = peak_memory_mb(process.pid)
    print(f"one request of {BODY_SIZE} bytes: status {status}, {body[:10]!r}, at most {peak:.0f} of {SMALLEST_MEMORY_MB} MB")
    assert status == 200 and body == b"booked:" + BODY[:100], (status, body[:100])
    assert peak <= SMALLEST_MEMORY_MB, f"{peak:.0f} MB, allowed {SMALLEST_MEMORY_MB} MB"
    process.kill()
    process.wait()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    parser.add_argument("--case", action="append", choices=CASES, help="run only this case")
    parser.add_argument("--without-settings", action="store_true", help="for builds that do not know the settings")
    arguments = parser.parse_args()
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(4096, limit[1]), limit[1]))
    fleet = RelayFleet(arguments.build)
    worker = start_worker("i-desk")
    try:
        wait_for("the store listens", lambda: socket.socket().connect_ex((HOST, fleet.store_port)) == 0, 5.0)
        config = make_configuration(1, ["k-1"])
        config["limits"].update(body_bytes=BODY_SIZE, header_bytes=HEAD_SIZE, idle_ms=60000)
        for route in config["routes"]:
            route.update(timeout_ms=14000)
        config["tenants"][0].update(rate_per_s=1_000_000_000, burst=1_000_000_000)
        fleet.append_to_log("keyed.op", "config", config)
        fleet.append_to_log("keyed.servers", worker.name, {**worker_entry(worker, "desk"), "slots": 200})
        if not arguments.case and not arguments.without_settings:
            check_single(fleet)
        faults = []
        for number, case in enumerate(arguments.case or CASES, 1):
            faults += check(fleet, number, case, not arguments.without_settings)
        assert not faults, "\n".join(faults)
        print("held bytes: ok")
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
