"""Runs three relay VMs with workers of two software versions that break their streams off, while all VMs are killed and started again.

Callers take their streams up as the platform's pages allow: with the id of the request that brought the first event, and the last event that they have.
No stream may hold events of both versions, and what can go on has to go on.
"""
import argparse
import http.client
import random
import socket
import sys
import threading
import time

from platform_path import HOST, REPLY_STAMP, RelayFleet, WorkerHandler, WorkerServer, make_configuration, wait_for, worker_entry

EVENTS = 14
EVENT_PAUSE = 0.06  # Seconds.
TRIES = 5
JOINED_ALLOWED = 2
BREAK_SHARE = 0.3  # Of the answers of workers.


class VersionHandler(WorkerHandler):
    def stream(self):
        first = int(self.headers.get("Last-Event-Id") or 0) + 1
        with self.server.lock:
            breaks_after = first + self.server.random.randrange(6) if self.server.random.random() < BREAK_SHARE else EVENTS
        self.send_response(200)
        self.send_header("X-Request-Id", self.headers.get("X-Request-Id", ""))
        self.send_header("X-Reply-Stamp", REPLY_STAMP)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for number in range(first, min(breaks_after, EVENTS) + 1):
            event = b"id: %d\ndata: %s\n\n" % (number, self.server.version.encode())
            self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(EVENT_PAUSE)
        if breaks_after < EVENTS:
            self.close_connection = True
        else:
            self.wfile.write(b"0\r\n\r\n")


def start_worker(name, version, seed):
    server = WorkerServer((HOST, 0), VersionHandler)
    server.name, server.stage, server.received = name, "decode", []
    server.version, server.lock, server.random = version, threading.Lock(), random.Random(seed)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class Stream:
    """A caller's stream over all of its tries."""

    def __init__(self, number):
        self.number, self.first_id, self.last_event, self.versions = number, None, 0, set()
        self.taken = self.went_on = self.whole = False
        self.answers = []

    def attempt(self, port, attempt_number):
        request_id = f"join-{self.number}-{attempt_number}"
        headers = {
            "Host": "shop.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "9000",
            "Authorization": "Bearer k-1",
            "X-Model": "m",
            "X-Token-Count": "100,20",
        }
        if self.last_event:
            headers.update({"Last-Event-Id": str(self.last_event), "Resumes": self.first_id})
            self.taken = True
        connection = http.client.HTTPConnection(HOST, port, timeout=6)
        try:
            connection.request("POST", "/resume/1", b"", headers)
            response = connection.getresponse()
            self.answers.append(response.status)
            if response.status != 200:
                response.read()
                return float(response.getheader("Retry-After") or 0.3)
            while line := response.readline():
                if line.startswith(b"id: "):
                    event = int(line[4:])
                elif line.startswith(b"data: "):
                    if not self.last_event:
                        self.first_id = request_id
                    self.went_on = self.went_on or self.taken
                    self.last_event = event
                    self.versions.add(line[6:].strip().decode())
            self.whole = self.last_event == EVENTS
        except (OSError, http.client.HTTPException) as error:
            self.answers.append(type(error).__name__)
            return 0.8  # The VM may have ended.
        finally:
            connection.close()
        return 0.1

    def run(self, ports, chooser):
        for attempt_number in range(TRIES):
            pause = self.attempt(chooser.choice(ports), attempt_number)
            if self.whole:
                return
            time.sleep(pause)


def send_streams(fleet, seconds, per_second, streams, threads):
    ports = [relay[1][0] for relay in fleet.relays.values()]
    for _ in range(int(seconds * per_second)):
        stream = Stream(len(streams))
        streams.append(stream)
        thread = threading.Thread(target=stream.run, args=(ports, random.Random(stream.number)))
        thread.start()
        threads.append(thread)
        time.sleep(1 / per_second)


def kill_all(fleet, pause):
    for process, _ in fleet.relays.values():
        process.kill()
        process.wait()
    time.sleep(pause)
    for name, (_, ports) in list(fleet.relays.items()):
        fleet.start_relay(name, ports)


def configuration():
    result = make_configuration(1, ["k-1"])
    result["routes"].append({**result["routes"][2], "name": "resume", "path_prefix": "/resume/", "resumable": True, "timeout_ms": 9000, "attempts": 3})
    result["services"][1]["engine"]["slots"] = 40
    return result


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    parser.add_argument("--forget", action="store_true", help="the store forgets its history before the VMs are killed")
    arguments = parser.parse_args()
    fleet = RelayFleet(arguments.build)
    workers = [start_worker(f"i-{version}-{number}", version, number) for version in ("v1", "v1.1") for number in (1, 2)]
    try:
        wait_for("the store listens", lambda: socket.socket().connect_ex((HOST, fleet.store_port)) == 0, 5.0)
        fleet.append_to_log("keyed.op", "config", configuration())
        for worker in workers:
            entry = {**worker_entry(worker, "llm", "decode"), "version": worker.version, "slots": 40}
            fleet.append_to_log("keyed.servers", worker.name, entry)
        for name in ("vm-1", "vm-2", "vm-3"):
            fleet.start_relay(name)
        wait_for("all VMs are ready", lambda: all(fleet.is_ready(name) for name in fleet.relays), 6.0)
        time.sleep(2.0)
        streams, threads = [], []
        for pause in (0.5, 1.0):
            send_streams(fleet, 3.0, 15, streams, threads)
            if arguments.forget:
                fleet.configure_store(forget=True)
            kill_all(fleet, pause)
            wait_for("all VMs are ready again", lambda: all(fleet.is_ready(name) for name in fleet.relays), 6.0)
        send_streams(fleet, 3.0, 15, streams, threads)
        for thread in threads:
            thread.join()
        joined = [stream for stream in streams if len(stream.versions) > 1]
        taken = [stream for stream in streams if stream.taken]
        went_on = [stream for stream in taken if stream.went_on]
        begun = sum(1 for stream in streams if stream.last_event)
        print(f"{len(streams)} streams, {begun} begun, {len(taken)} taken up, {len(went_on)} went on, {len(joined)} joined")
        assert len(joined) <= JOINED_ALLOWED, f"{len(joined)} streams hold events of two versions, such as {[s.number for s in joined[:5]]}"
        assert len(taken) >= 12, "too few streams were taken up"
        share = begun / len(streams)
        answers = [stream.answers for stream in taken if not stream.went_on]
        assert len(went_on) >= share / 2 * len(taken), f"of {len(taken)} streams taken up {len(went_on)} went on, such as {answers[:4]}"
        for worker in workers:
            used = [received for received in worker.received if received[0] == "/resume/1"]
            assert used, f"{worker.name} of version {worker.version} got no request"
        print("joined versions: ok")
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
