"""Runs a relay VM against decode workers that fall silent in the middle of a stream and go on, and that refuse to resume the streams of others.

Callers use kept connections, and the configuration changes meanwhile. Every request has to get a whole answer or a refusal. A booking worker reads
nothing for a moment while a body that does not fit into its receive buffer is sent to it.
"""
import argparse
import http.client
import socket
import sys
import threading
import time

from platform_path import HOST, REPLY_STAMP, RelayFleet, WorkerHandler, WorkerServer, make_configuration, wait_for, worker_entry

EVENTS = 20
SILENT_AFTER = 5  # Events.
SILENCES = (0.6, 1.0, 1.3, 1.6)  # Seconds.
DEAF_TIME = 1.3  # Seconds.
BODY_SIZE = 900_000  # Bytes. The buffers of a loopback connection with a small receive buffer hold less.
CALLERS = 6
ROUNDS = 4


class SilentHandler(WorkerHandler):
    def stream(self):
        if self.headers.get("Last-Event-Id"):
            with self.server.lock:
                self.server.resumptions += 1
            self.send_answer(503, b"", [("X-Not-Run", "1")])
            return
        with self.server.lock:
            silence = SILENCES[self.server.streams % len(SILENCES)]
            self.server.streams += 1
        self.send_response(200)
        self.send_header("X-Request-Id", self.headers.get("X-Request-Id", ""))
        self.send_header("X-Reply-Stamp", REPLY_STAMP)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for number in range(1, EVENTS + 1):
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(silence if number == SILENT_AFTER else 0.02)
        self.wfile.write(b"0\r\n\r\n")


class DeafHandler(WorkerHandler):
    def setup(self):
        time.sleep(DEAF_TIME)
        super().setup()


class DeafServer(WorkerServer):
    def server_bind(self):
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        super().server_bind()


def start_deaf_worker(name):
    server = DeafServer((HOST, 0), DeafHandler)
    server.name, server.stage, server.received = name, None, []
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def start_worker(name):
    server = WorkerServer((HOST, 0), SilentHandler)
    server.name, server.stage, server.received = name, "decode", []
    server.lock, server.streams, server.resumptions = threading.Lock(), 0, 0
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class Callers:
    def __init__(self, port):
        self.port, self.whole, self.refused, self.cut = port, 0, 0, []
        self.lock = threading.Lock()

    def run(self, number):
        connection = http.client.HTTPConnection(HOST, self.port, timeout=8)
        for round_number in range(ROUNDS):
            request_id = f"silent-{number}-{round_number}"
            headers = {
                "Host": "shop.example",
                "X-Request-Id": request_id,
                "X-Deadline-Ms": "7000",
                "Authorization": "Bearer k-1",
                "X-Model": "m",
                "X-Token-Count": "500,20",
            }
            try:
                connection.request("POST", "/resume/1", b"", headers)
                response = connection.getresponse()
                body = response.read()
                with self.lock:
                    if response.status == 503:
                        self.refused += 1
                    elif response.status == 200 and body.count(b"data: piece") == EVENTS and body.endswith(b"piece %d\n\n" % EVENTS):
                        self.whole += 1
                    else:
                        self.cut.append((request_id, response.status, len(body)))
            except (OSError, http.client.HTTPException) as error:
                with self.lock:
                    self.cut.append((request_id, type(error).__name__))
                connection.close()
        connection.close()


def configuration(version):
    result = make_configuration(version, ["k-1"])
    result["limits"]["body_bytes"] = 2 * BODY_SIZE
    result["routes"].append({**result["routes"][2], "name": "resume", "path_prefix": "/resume/", "resumable": True, "timeout_ms": 7000 + version})
    return result


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    fleet = RelayFleet(parser.parse_args().build)
    workers = [start_worker(f"i-dec-{number}") for number in (1, 2, 3)]
    deaf_worker = start_deaf_worker("i-desk-1")
    try:
        wait_for("the store listens", lambda: socket.socket().connect_ex((HOST, fleet.store_port)) == 0, 5.0)
        fleet.append_to_log("keyed.op", "config", configuration(1))
        for worker in workers:
            fleet.append_to_log("keyed.servers", worker.name, worker_entry(worker, "llm", "decode"))
        fleet.append_to_log("keyed.servers", deaf_worker.name, worker_entry(deaf_worker, "desk"))
        fleet.start_relay("vm-1")
        wait_for("vm-1 is ready", lambda: fleet.is_ready("vm-1"), 4.0)
        time.sleep(1.5)
        status, body, _ = fleet.request("vm-1", "/book/1", body=b"x" * BODY_SIZE, X_Deadline_Ms="4000")
        assert (status, len(body)) == (200, BODY_SIZE + len(b"booked:")), f"a worker that read late: expected status 200, got {status} {body[:200]!r}"
        callers = Callers(fleet.relays["vm-1"][1][0])
        threads = [threading.Thread(target=callers.run, args=(number,)) for number in range(CALLERS)]
        for thread in threads:
            thread.start()
        version = 1
        while any(thread.is_alive() for thread in threads):
            version += 1
            fleet.append_to_log("keyed.op", "config", configuration(version))
            time.sleep(0.4)
        for thread in threads:
            thread.join()
        resumptions = sum(worker.resumptions for worker in workers)
        print(f"{callers.whole} whole, {callers.refused} refused, {len(callers.cut)} cut; {resumptions} resumptions refused by workers")
        assert not callers.cut, f"{len(callers.cut)} requests got neither a whole answer nor a refusal, such as {callers.cut[:4]}"
        assert callers.whole >= CALLERS * ROUNDS * 3 // 4, f"{callers.whole} of {CALLERS * ROUNDS} requests were served"
        assert resumptions > 0, "no worker was asked to resume a stream"
        print("silent workers: ok")
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
