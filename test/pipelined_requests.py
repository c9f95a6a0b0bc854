"""Runs a relay VM against callers that send requests before they have the answers to earlier ones, cut at any byte.

Every request has to reach a worker with its own method, path and body, once at most, and the VM has to go on.
"""
import argparse
import random
import socket
import sys
import threading
import time

from platform_path import HOST, RelayFleet, WorkerHandler, WorkerServer, make_configuration, wait_for, worker_entry

CALLERS = 8
ROUNDS = 6
SEED = 11


class SlowHandler(WorkerHandler):
    def do_POST(self):
        time.sleep(0.01)
        super().do_POST()


def start_worker(name):
    server = WorkerServer((HOST, 0), SlowHandler)
    server.name, server.stage, server.received = name, None, []
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class Caller:
    def __init__(self, port, number):
        self.port, self.number = port, number
        self.random = random.Random(SEED * 1000 + number)
        self.sent, self.answers, self.unanswered = {}, {}, []

    def request_bytes(self, request_id):
        body = (f"booking {request_id} " * 40).encode()[: self.random.choice((0, 1, 300, 600))]
        path = f"/book/{request_id}"
        self.sent[request_id] = (path, body)
        head = f"POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {request_id}\r\nX-Deadline-Ms: 4000\r\nAuthorization: Bearer k-1\r\n"
        return head.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body

    def run(self):
        for round_number in range(ROUNDS):
            ids = [f"pipe-{self.number}-{round_number}-{each}" for each in range(self.random.randint(2, 16))]
            texts = [self.request_bytes(request_id) for request_id in ids]
            data = b"".join(texts)
            # In every other round, the second request is cut, and its rest is sent after the first answer.
            held_back = len(data) - len(texts[0]) - len(texts[1]) // 2 if round_number % 2 else 0
            self.first_answered = threading.Event()
            with socket.create_connection((HOST, self.port), timeout=10) as connection:
                sender = threading.Thread(target=self.send, args=(connection, data, held_back))
                sender.start()
                self.read_answers(connection, ids)
                sender.join()

    def send(self, connection, data, held_back):
        if held_back:
            connection.sendall(data[:-held_back])
            data = data[-held_back:]
            self.first_answered.wait(10)
        while data:
            size = self.random.choice((1, 7, 100, 700, 3000))
            try:
                connection.sendall(data[:size])
            except OSError:
                return
            data = data[size:]
            time.sleep(self.random.choice((0, 0, 0.003)))

    def read_answers(self, connection, ids):
        reader = connection.makefile("rb")
        for position, request_id in enumerate(ids):
            try:
                status = reader.readline().split()
                length = 0
                while (line := reader.readline()) not in (b"\r\n", b""):
                    name, _, value = line.partition(b":")
                    length = int(value) if name.lower() == b"content-length" else length
                self.answers[request_id] = (int(status[1]), reader.read(length))
                self.first_answered.set()
            except (OSError, IndexError, ValueError):
                self.unanswered += ids[position:]
                self.first_answered.set()
                return


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    fleet = RelayFleet(parser.parse_args().build)
    workers = [start_worker(f"i-desk-{number}") for number in (1, 2)]
    try:
        wait_for("the store listens", lambda: socket.socket().connect_ex((HOST, fleet.store_port)) == 0, 5.0)
        fleet.append_to_log("keyed.op", "config", make_configuration(1, ["k-1"]))
        for worker in workers:
            fleet.append_to_log("keyed.servers", worker.name, {**worker_entry(worker, "desk"), "slots": 16})
        fleet.start_relay("vm-1")
        wait_for("vm-1 is ready", lambda: fleet.is_ready("vm-1"), 4.0)
        time.sleep(1.0)
        process, ports = fleet.relays["vm-1"]
        callers = [Caller(ports[0], number) for number in range(CALLERS)]
        threads = [threading.Thread(target=caller.run) for caller in callers]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        sent = {request_id: text for caller in callers for request_id, text in caller.sent.items()}
        answers = {request_id: answer for caller in callers for request_id, answer in caller.answers.items()}
        unanswered = [request_id for caller in callers for request_id in caller.unanswered]
        runs = [(headers.get("X-Request-Id"), path, body) for worker in workers for path, headers, body in worker.received]
        changed = [run for run in runs if sent.get(run[0]) != run[1:]]
        foreign = [request_id for request_id, (status, body) in answers.items() if status == 200 and body != b"booked:" + sent[request_id][1]]
        served = sum(status == 200 for status, _ in answers.values())
        print(
            f"{len(sent)} requests sent, {len(runs)} run, {len(changed)} changed, {served} served, {len(foreign)} foreign answers,"
            f" {len(unanswered)} without an answer, VM ended: {process.poll()}"
        )
        assert process.poll() is None, f"the VM ended with {process.poll()}"
        assert not changed, f"requests ran that differ from what was sent, such as {changed[0]}"
        assert not foreign, f"answers to other requests, such as that to {foreign[0]}"
        assert len({run[0] for run in runs}) == len(runs), "a request ran twice"
        assert not unanswered, f"no answer to {unanswered[0]}"
        assert served == len(sent), f"{served} of {len(sent)} requests were served"
        print("pipelined requests: ok")
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
