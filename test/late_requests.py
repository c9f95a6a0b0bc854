"""Stops relay VMs while requests reach them in every way until the end of the grace period, and checks how each one ends.

Short work is a booking of 30 ms with a deadline of 1.5 s, long work a booking of 4.6 s or a stream of 4.6 s with a deadline of 14 s. They come on new
connections, on connections that have been open without a request, on kept ones, behind a stream on its connection, pipelined behind an open request,
and with bodies that arrive slowly. One VM has the default drain time, the other one the longest that the settings allow.

A request that a worker has begun gets a whole answer. A stream may be broken off only if its caller began to send it within three seconds after the
SIGTERM and in the last sixth of the grace period. All others are refused as not run, or their connection ends before they are passed on.
"""
import argparse
import random
import socket
import sys
import threading
import time

from planned_stop import EVENT_PAUSE_S, GRACE_S, LAST_SIXTH_S, SLACK_S, Handler, configuration, start_worker, stop_with
from platform_path import HOST, RelayFleet, wait_for, worker_entry

SENT_IN_TIME_S = 3.0  # Requests that are sent later may not be cut.
SHORT_S, LONG_S = 0.03, 4.6
SHORT_DEADLINE_S, LONG_DEADLINE_S = 1.5, 14.0
SEED = 39
WAYS = ("new", "opened", "kept", "behind a stream", "pipelined", "slow body")
ROUNDS = 14  # Requests of each way and kind at each VM.


class TimedHandler(Handler):
    def send_answer(self, status, body, headers=()):
        if self.path.startswith("/book/"):
            self.server.begun[self.headers.get("X-Request-Id")] = time.monotonic()
            time.sleep(float(self.path.rsplit("/", 1)[1]))
        try:
            super().send_answer(status, body, headers)
        except OSError:
            self.close_connection = True


def request_bytes(path, request_id, deadline_s, body=b"x"):
    return (
        f"POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {request_id}\r\nX-Deadline-Ms: {deadline_s * 1000:.0f}\r\n"
        f"Authorization: Bearer k-1\r\nX-Model: m\r\nX-Token-Count: 500,20\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body


class Answers:
    """Reads answers from a connection, one after the other. An answer that breaks off is not whole."""

    def __init__(self, connection):
        self.connection, self.data = connection, b""

    def more(self):
        data = self.connection.recv(65536)
        self.data += data
        return bool(data)

    def read(self):
        while b"\r\n\r\n" not in self.data:
            if not self.more():
                return None, False, self.data
        head, _, self.data = self.data.partition(b"\r\n\r\n")
        status = int(head.split(b" ")[1])
        if b"chunked" in head:
            while b"0\r\n\r\n" not in self.data:
                if not self.more():
                    return status, False, self.data
            body, _, self.data = self.data.partition(b"0\r\n\r\n")
            return status, True, body
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        while len(self.data) < length:
            if not self.more():
                return status, False, self.data
        body, self.data = self.data[:length], self.data[length:]
        return status, True, body


class Caller:
    """Sends one request in its way, `sent` seconds after the SIGTERM."""

    def __init__(self, vm, port, way, kind, number, choices):
        self.port, self.way, self.kind = port, way, kind
        self.request_id = f"{vm}-{way.replace(' ', '-')}-{kind}-{number}"
        latest = {"slow body": 3.2, "behind a stream": 6.0}.get(way, GRACE_S - 0.5)
        self.planned = latest * (number + choices.random()) / ROUNDS
        self.body_time = choices.uniform(0.2, 2.0) if way == "slow body" else 0.0
        self.deadline = SHORT_DEADLINE_S if kind == "short" else LONG_DEADLINE_S
        self.path = {"short": f"/book/{SHORT_S}", "long": f"/book/{LONG_S}", "stream": f"/draft/{LONG_S}"}[kind]
        self.sent, self.status, self.whole, self.ended, self.body, self.error = None, None, False, None, b"", ""

    def __str__(self):
        return f"{self.request_id}: sent at {self.sent}, ended at {self.ended}, status {self.status}, whole={self.whole}, {self.body[-60:]!r} {self.error}"

    def run(self, stopped_at):
        try:
            self.play(stopped_at)
        except OSError as error:
            self.error = repr(error)
        self.ended = round(time.monotonic() - stopped_at, 3)

    def wait_until(self, stopped_at, at):
        time.sleep(max(stopped_at + at - time.monotonic(), 0))

    def play(self, stopped_at):
        before = {"opened": 0.4, "kept": 0.6, "behind a stream": max(self.planned, 0.5), "pipelined": 0.5}.get(self.way, 0.0)
        self.wait_until(stopped_at, self.planned - before)
        with socket.create_connection((HOST, self.port), timeout=12) as connection:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            answers = Answers(connection)
            if self.way == "kept":
                connection.sendall(request_bytes("/book/0.01", self.request_id + "-first", 3.0))
                answers.read()
            elif self.way == "behind a stream":
                events = round(before / EVENT_PAUSE_S)
                connection.sendall(request_bytes(f"/draft/{events * EVENT_PAUSE_S:.2f}", self.request_id + "-first", 14.0))
                answers.read()
            elif self.way == "pipelined":
                connection.sendall(request_bytes("/book/0.6", self.request_id + "-first", 3.0))
            if self.way != "behind a stream":
                self.wait_until(stopped_at, self.planned)
            self.sent = round(time.monotonic() - stopped_at, 3)
            text = request_bytes(self.path, self.request_id, self.deadline, b"b" * 1000)
            half = len(text) // 2
            connection.sendall(text[:half])
            time.sleep(self.body_time)
            connection.sendall(text[half:])
            if self.way == "pipelined":
                answers.read()
            self.status, self.whole, self.body = answers.read()


def faults_of(caller, was_begun):
    if not was_begun:
        refused = caller.status == 503 and caller.whole and b"not_run" in caller.body
        if not refused and caller.status is not None:
            yield "was neither passed on nor refused as not run"
        return
    if caller.status in (429, 503):
        yield "was refused after it had been passed on"
    if caller.whole and caller.status in (200, 502, 504):
        if caller.status != 200 and caller.ended < LAST_SIXTH_S and caller.ended - caller.sent < caller.deadline:
            yield "failed before the last sixth of the grace period"
        return
    if caller.ended - caller.sent >= caller.deadline:
        return
    if caller.sent > SENT_IN_TIME_S:
        yield f"was sent {caller.sent - SENT_IN_TIME_S:.2f} s too late to be cut"
    if caller.ended < LAST_SIXTH_S:
        yield "was cut before the last sixth of the grace period"
    if caller.kind != "stream":
        yield "got no answer"


def check(name, callers, workers, code, lasted):
    begun = {request_id for worker in workers for request_id in worker.begun}
    faults = [f"{fault}: {caller}" for caller in callers for fault in faults_of(caller, caller.request_id in begun)]
    passed_on = [caller for caller in callers if caller.request_id in begun]
    whole = sum(caller.status == 200 and caller.whole for caller in passed_on)
    latest = max((caller.sent for caller in passed_on), default=None)
    print(f"{name}: {len(callers)} sent, {len(passed_on)} passed on, the latest sent {latest} s after the SIGTERM, {whole} whole, {len(faults)} faults")
    assert not faults, "\n".join(faults)
    assert passed_on and whole, "no request was served"
    assert code == 0 and lasted < GRACE_S, (code, lasted)


def stop_and_check(fleet, name, workers, seed, results):
    choices = random.Random(f"{seed}-{name}")
    port = fleet.relays[name][1][0]
    callers = [Caller(name, port, way, kind, number, choices) for way in WAYS for kind in ("short", "long", "stream") for number in range(ROUNDS)]
    _, lasted, code = stop_with(fleet, name, callers, ())
    results[name] = (callers, code, lasted)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    parser.add_argument("--seed", type=int, default=SEED)
    arguments = parser.parse_args()
    fleet = RelayFleet(arguments.build)
    workers = [start_worker("i-desk", None, TimedHandler)] + [start_worker(f"i-dec-{number}", "decode", TimedHandler) for number in (1, 2)]
    try:
        wait_for("the store listens", lambda: socket.socket().connect_ex((HOST, fleet.store_port)) == 0, 5.0)
        fleet.append_to_log("keyed.op", "config", configuration())
        fleet.append_to_log("keyed.servers", "i-desk", {**worker_entry(workers[0], "desk"), "slots": 512})
        for worker in workers[1:]:
            fleet.append_to_log("keyed.servers", worker.name, {**worker_entry(worker, "llm", "decode"), "slots": 64})
        names = {"vm-default": "", "vm-long-drain": "drain_time: 60s\n"}
        for name, settings in names.items():
            fleet.start_relay(name, settings=settings)
        for name in names:
            wait_for(f"{name} is ready", lambda name=name: fleet.is_ready(name), 4.0)
        time.sleep(1.5)
        results = {}
        for name in names:
            stop_and_check(fleet, name, workers, arguments.seed, results)
        for name, (callers, code, lasted) in results.items():
            check(name, callers, workers, code, lasted)
        print("late requests: ok")
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
