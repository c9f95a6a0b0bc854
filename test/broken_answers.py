"""Runs a relay VM against workers that break off their answers during the upload, and that answer with statuses that are none.

Guards against callers that take a part of an answer for the whole one, and that get a status outside 100 to 599. All three kinds of routes are called:
lookups, bookings and streams.
"""
import argparse
import os
import socket
import struct
import sys
import threading
import time

from platform_path import HOST, REPLY_STAMP, RelayFleet, WorkerHandler, WorkerServer, make_configuration, wait_for, worker_entry

UPLOAD_SIZE = 16 * 1024 * 1024  # Bytes. More than the buffers of two sockets hold.
PART = b"id: 1\ndata: part\n\n"
ROUNDS = 6  # Uploads of each kind. Whether the read or the write gets the reset differs from one to the next.
STATUSES = ("000", "007", "099", "101", "102", "199", "600", "999")
PATHS = ("/look/", "/book/", "/draft/")


class BrokenHandler(WorkerHandler):
    def send_raw_head(self, status, length=None):
        text = f"HTTP/1.1 {status} Text\r\nX-Request-Id: {self.headers.get('X-Request-Id', '')}\r\nX-Reply-Stamp: {REPLY_STAMP}\r\n"
        if length is not None:
            text += f"Content-Length: {length}\r\n"
        self.wfile.write(text.encode() + b"\r\n")
        self.wfile.flush()

    def do_POST(self):
        case = self.path.rsplit("/", 1)[1]
        self.close_connection = True
        if case == "reset":
            self.send_raw_head("200")
            self.wfile.write(PART)
            time.sleep(0.1)
            self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            return
        self.rfile.read(int(self.headers.get("Content-Length") or 0))
        if case.startswith("status-"):
            self.send_raw_head(case.removeprefix("status-"), 2)
            self.wfile.write(b"{}")
            return
        self.send_raw_head("200", len(PART))
        self.wfile.write(PART)


def start_broken(name):
    server = WorkerServer((HOST, 0), BrokenHandler)
    server.name, server.stage, server.received = name, None, []
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def exchange(fleet, path, body):
    """Returns the status, the bytes of the body and whether the answer ended as its framing requires."""
    head = (
        f"POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: id-{time.monotonic_ns()}\r\nX-Deadline-Ms: 14000\r\nAuthorization: Bearer k-1\r\n"
        f"X-Model: m\r\nX-Token-Count: 100,20\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    ).encode()
    answer, ended = b"", True
    with socket.create_connection((HOST, fleet.relays["vm-1"][1][0]), timeout=30) as connection:
        try:
            connection.sendall(head + body)
        except OSError:
            pass  # The answer may be there already.
        try:
            while data := connection.recv(65536):
                answer += data
        except ConnectionResetError:
            ended = False
    head, _, body = answer.partition(b"\r\n\r\n")
    status = int(head.split(b" ")[1]) if head else None
    fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
    if b"chunked" in fields.get(b"transfer-encoding", b""):
        whole = body.endswith(b"0\r\n\r\n")
    elif b"content-length" in fields:
        whole = len(body) == int(fields[b"content-length"])
    else:
        whole = ended
    return status, body, whole


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    fleet = RelayFleet(parser.parse_args().build)
    # Several workers, as one that has failed gets no requests for a while.
    desks = [start_broken(f"i-desk-{number}") for number in range(8)]
    engines = [start_broken(f"i-dec-{number}") for number in range(8)]
    try:
        wait_for("the store listens", lambda: socket.socket().connect_ex((HOST, fleet.store_port)) == 0, 5.0)
        config = make_configuration(1, ["k-1"])
        config["limits"]["body_bytes"] = 2 * UPLOAD_SIZE
        for route in config["routes"]:
            route.update(timeout_ms=14000)
        fleet.append_to_log("keyed.op", "config", config)
        for desk in desks:
            fleet.append_to_log("keyed.servers", desk.name, worker_entry(desk, "desk"))
        for engine in engines:
            fleet.append_to_log("keyed.servers", engine.name, {**worker_entry(engine, "llm", "decode"), "version": "v1"})
        fleet.relay_log = os.path.join(fleet.folder, f"plantainpoint-relay-{len(fleet.processes)}.log")
        fleet.start_relay("vm-1")
        wait_for("the VM is ready", lambda: fleet.is_ready("vm-1"), 10.0)
        time.sleep(1.0)
        faults, stated = [], 0
        for path in PATHS:
            status, body, whole = exchange(fleet, f"{path}whole", b"x")
            if status != 200 or not whole or PART not in body:
                faults.append(f"{path}whole: status {status}, whole={whole}, {body[:60]!r}")
            for status_sent in STATUSES:
                status, body, whole = exchange(fleet, f"{path}status-{status_sent}", b"x")
                with open(fleet.relay_log, encoding="utf-8", errors="replace") as log:
                    stated += f"answered with the invalid status {status_sent}" in log.read()
                if status not in (502, 503, 504) or not whole:
                    faults.append(f"{path}: status {status_sent} of the worker became {status}, whole={whole}")
        print(f"invalid statuses: the log states {stated} of {len(PATHS) * len(STATUSES)}")
        upload = b"u" * UPLOAD_SIZE
        for path in PATHS:
            taken = 0
            for _ in range(ROUNDS):
                status, body, whole = exchange(fleet, f"{path}reset", upload)
                if status == 200 and whole:
                    taken += 1
            print(f"{path}: {taken} of {ROUNDS} parts were passed on as whole answers")
            if taken:
                faults.append(f"{path}: {taken} of {ROUNDS} parts were passed on as whole answers")
        assert fleet.relays["vm-1"][0].poll() is None, "the VM has ended"
        assert not faults, "\n".join(faults)
        # A worker that has failed may get no further request, and its failure then has another reason.
        assert stated > 0, "the log states none of the statuses that were received"
        print("broken answers: ok")
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
