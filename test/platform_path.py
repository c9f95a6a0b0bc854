"""Runs two relay VMs against the stand-in of the platform's store, with workers and callers of this script.

Guards against a path that works in unit tests only: readiness, keys, forged headers, streams through prefill and decode, an outage of the
store, a VM that starts during the outage, a key that is withdrawn, a graceful shutdown.
"""
import argparse
import http.client
import json
import os
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
STAMP = "3e1b.07.5a2"


def free_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Worker(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args):
        pass

    def answer(self, status, body, headers=()):
        self.send_response(status)
        self.send_header("X-Request-Id", self.headers.get("X-Request-Id", ""))
        self.send_header("X-Reply-Stamp", STAMP)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_GET(self):
        self.do_POST()

    def do_POST(self):
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length)
        self.server.seen.append((self.path, dict(self.headers), body))
        if self.headers.get("X-Expect-Instance") != self.server.name:
            self.answer(421, b"")
        elif self.server.stage == "prefill":
            self.answer(200, json.dumps({"kv_handle": "h1", "tokens": 10, "version": 1}).encode())
        elif self.server.stage == "decode":
            self.stream()
        else:
            self.answer(200, b"booked:" + body)

    def stream(self):
        self.send_response(200)
        self.send_header("X-Request-Id", self.headers.get("X-Request-Id", ""))
        self.send_header("X-Reply-Stamp", STAMP)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for number in range(1, self.server.events + 1):
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(0.02)
        self.wfile.write(b"0\r\n\r\n")


def start_worker(name, stage=None):
    server = ThreadingHTTPServer((HOST, 0), Worker)
    server.daemon_threads = True
    server.name, server.stage, server.events, server.seen = name, stage, 20, []
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def call(port, method, path, body=b"", headers=None, timeout=5):
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.read(), dict(response.getheaders())
    finally:
        connection.close()


def record(key, value):
    content = bytes([len(key)]) + key.encode() + value
    return struct.pack(">I", len(content)) + content


class Fleet:
    def __init__(self, build):
        self.build = build
        self.folder = tempfile.mkdtemp()
        self.store_port = free_port()
        self.processes = []
        self.relays = {}
        self.store = self.spawn("platform-store-standin", ["--listen", f"{HOST}:{self.store_port}"])

    def spawn(self, program, arguments, output=None):
        log = open(os.path.join(self.folder, f"{program}-{len(self.processes)}.log"), "w")
        process = subprocess.Popen([os.path.join(self.build, program), *arguments], stdout=output or log, stderr=log)
        self.processes.append(process)
        return process

    def start_relay(self, name, ports=None, output=None):
        ports = ports or [free_port() for _ in range(3)]
        path = os.path.join(self.folder, f"{name}.yaml")
        with open(path, "w") as out:
            out.write(
                f"vm: {name}\ndata_centre: dc-a\nlisten: {HOST}:{ports[0]}\nready: {HOST}:{ports[1]}\npeer: {HOST}:{ports[2]}\n"
                f"directory: {HOST}:{self.store_port}\ndirectory_interval: 100ms\nengines:\n  direct_limit: 0ms\n"
            )
        self.relays[name] = (self.spawn("plantainpoint-relay", ["--settings", path], output), ports)

    def append(self, topic, key, value):
        body = record(key, value if isinstance(value, bytes) else json.dumps(value).encode())
        status, _, _ = call(self.store_port, "POST", f"/api/log-append?topic={topic}&part=0", body)
        assert status == 200, f"append to {topic}: {status}"

    def control(self, **fields):
        call(self.store_port, "POST", "/control", json.dumps(fields).encode(), {"Content-Type": "application/json"})

    def ready(self, name):
        try:
            return call(self.relays[name][1][1], "GET", "/api/readyz", timeout=1)[0] == 200
        except OSError:
            return False

    def request(self, name, path, key="k-1", body=b"x", **headers):
        fields = {"Host": "shop.example", "X-Request-Id": f"id-{time.monotonic_ns()}", "X-Deadline-Ms": "3000"}
        if key:
            fields["Authorization"] = f"Bearer {key}"
        fields.update({each.replace("_", "-"): value for each, value in headers.items()})
        return call(self.relays[name][1][0], "POST", path, body, fields)

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
                process.wait()


def wait_for(what, condition, limit=2.0):
    end = time.monotonic() + limit
    while not condition():
        if time.monotonic() > end:
            raise AssertionError(f"not within {limit} s: {what}")
        time.sleep(0.02)


def configuration(version, keys):
    route = {"host": "shop.example", "timeout_ms": 5000, "slo_ms": 900, "priority": 1, "attempts": 2, "public": False}
    return {
        "version": version,
        "routes": [
            {**route, "name": "book", "path_prefix": "/book/", "kind": "unsafe", "service": "desk"},
            {**route, "name": "look", "path_prefix": "/look/", "kind": "safe", "service": "desk"},
            {**route, "name": "draft", "path_prefix": "/draft/", "kind": "streaming", "service": "llm", "gap_slo_ms": 300},
        ],
        "services": [{"name": "desk"}, {"name": "llm", "engine": {"slots": 4, "kv_tokens": 100000, "handle_ttl_s": 0.5}}],
        "limits": {"header_bytes": 16384, "body_bytes": 65536, "header_ms": 3000, "idle_ms": 15000},
        "tenants": [{"name": "t1", "api_keys": keys, "unit": "tokens", "plain_tokens": 1, "rate_per_s": 100000, "burst": 100000}],
    }


def entry(worker, service, stage=None):
    port = worker.server_address[1]
    out = {"service": service, "addr": f"{HOST}:{port}", "zone": "dc-a", "version": "v1", "slots": 4, "state": "ready", "seq": 1, "born": 1}
    return {**out, "stage": stage} if stage else out


def check_requests(fleet, desk):
    status, body, headers = fleet.request("vm-1", "/book/1", X_Tenant="forged", X_Kv_Hold="h")
    assert (status, body) == (200, b"booked:x"), (status, body)
    assert headers.get("X-Reply-Stamp") == STAMP
    sent = desk.seen[-1][1]
    assert sent["X-Tenant"] == "t1" and "Authorization" not in sent and "X-Kv-Hold" not in sent, sent
    assert 0 < int(sent["X-Deadline-Ms"]) <= 3000
    assert fleet.request("vm-2", "/nowhere/1")[0] == 404
    assert fleet.request("vm-2", "/look/1", key="k-unknown")[0] == 401
    assert fleet.request("vm-2", "/look/1", key=None)[0] == 401
    status, _, _ = fleet.request("vm-1", "/look/1", body=b"x" * 100000)
    assert status == 413, status


def check_stream(fleet, decode):
    status, body, headers = fleet.request("vm-1", "/draft/1", X_Token_Count="5000,20", X_Model="m")
    assert status == 200 and headers.get("X-Reply-Stamp") == STAMP, (status, headers)
    assert body.count(b"data: piece") == 20 and body.endswith(b"piece 20\n\n"), body
    assert decode.seen[-1][1].get("X-Kv-Source", "").endswith("/h1"), decode.seen[-1]


def check_unread_log(fleet):
    # nobody reads the output of vm-1: its pipe is full after some hundred lines
    for _ in range(600):
        assert fleet.request("vm-1", "/look/1")[0] == 200


def check_outage(fleet):
    fleet.control(mode="silent")
    time.sleep(1.5)
    assert fleet.ready("vm-1") and fleet.request("vm-1", "/look/1")[0] == 200
    process, ports = fleet.relays["vm-2"]
    process.send_signal(signal.SIGKILL)
    process.wait()
    fleet.start_relay("vm-2", ports)
    wait_for("a VM that starts during the outage is ready", lambda: fleet.ready("vm-2"), 3.0)
    assert fleet.request("vm-2", "/look/1")[0] == 200
    fleet.control(mode="up")


def check_withdrawal(fleet):
    fleet.append("keyed.op", "config", configuration(8, ["k-2"]))
    for name in ("vm-1", "vm-2"):
        wait_for(f"{name} refuses the withdrawn key", lambda name=name: fleet.request(name, "/look/1")[0] == 401, 4.0)
        assert fleet.request(name, "/look/1", key="k-2")[0] == 200
    fleet.control(forget=True)
    fleet.append("keyed.op", "config", configuration(9, ["k-1"]))
    wait_for("a change after the history was dropped is in force", lambda: fleet.request("vm-1", "/look/1")[0] == 200)
    fleet.append("keyed.op", "config", b"{not json")
    time.sleep(0.3)
    assert fleet.request("vm-1", "/look/1")[0] == 200


def check_shutdown(fleet, decode):
    decode.events = 120
    result = []
    stream = threading.Thread(target=lambda: result.append(fleet.request("vm-1", "/draft/2", X_Token_Count="5000,20")))
    stream.start()
    time.sleep(0.4)
    process = fleet.relays["vm-1"][0]
    process.send_signal(signal.SIGTERM)
    wait_for("a leaving VM is not ready", lambda: not fleet.ready("vm-1"), 1.0)
    assert fleet.request("vm-1", "/look/1")[0] == 200
    stream.join()
    assert result[0][0] == 200 and result[0][1].endswith(b"piece 120\n\n"), result[0][0]
    assert process.wait(timeout=8) == 0


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    fleet = Fleet(parser.parse_args().build)
    desk, prefill, decode = start_worker("i-desk"), start_worker("i-pre", "prefill"), start_worker("i-dec", "decode")
    try:
        wait_for("the store listens", lambda: socket.socket().connect_ex((HOST, fleet.store_port)) == 0, 5.0)
        fleet.start_relay("vm-1", output=subprocess.PIPE)
        fleet.start_relay("vm-2")
        time.sleep(0.5)
        assert not fleet.ready("vm-1"), "ready without a configuration"
        fleet.append("keyed.op", "config", configuration(7, ["k-1"]))
        fleet.append("keyed.servers", "i-desk", entry(desk, "desk"))
        fleet.append("keyed.servers", "i-pre", entry(prefill, "llm", "prefill"))
        fleet.append("keyed.servers", "i-dec", entry(decode, "llm", "decode"))
        fleet.append("keyed.servers", "i-ghost", b"\x00\x01")
        for name in ("vm-1", "vm-2"):
            wait_for(f"{name} is ready", lambda name=name: fleet.ready(name))
        time.sleep(0.3)
        check_requests(fleet, desk)
        check_stream(fleet, decode)
        check_unread_log(fleet)
        check_outage(fleet)
        check_withdrawal(fleet)
        check_shutdown(fleet, decode)
        print("platform path: ok")
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
